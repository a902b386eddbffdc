package enginemodel

import (
	"container/heap"
	"slices"
	"time"

	"trefoilpath.org/trefoilpath/internal/engine"
)

type phase uint8

const (
	phaseWaiting   phase = iota // holds no memory
	phaseImporting              // holds memory; imported KV cache is in transfer
	phasePrefill
	phaseDecode
)

// sequence is one sequence in the engine.
type sequence struct {
	submit    engine.Submit
	order     uint64 // position in the order of arrival
	phase     phase
	prompt    int64         // prompt tokens by the engine's own count
	cached    int64         // prompt tokens found in the prefix cache
	imported  int64         // KV cache tokens of the imported handles
	total     int64         // output tokens to generate
	out       int64         // output tokens when it last entered or left phaseDecode
	remaining int64         // tokens still to prefill
	worked    bool          // the engine has prefilled some of its tokens
	firstSent bool          // the First event was emitted
	joinStep  int64         // step count at which it entered phaseDecode
	endStep   int64         // step count at which it will have generated total
	decodeAt  int           // index in Model.decoding
	heapAt    int           // index in endHeap
	started   time.Duration // time at which the engine accepted it
}

// output returns the number of tokens generated when the engine has done step steps.
func (s *sequence) output(step int64) int64 {
	if s.phase != phaseDecode {
		return s.out
	}
	return s.out + step - s.joinStep
}

// held returns the KV cache tokens that the sequence holds.
func (s *sequence) held(step int64) int64 {
	if s.phase == phaseWaiting {
		return 0
	}
	return s.prompt + s.output(step)
}

// compareSequences orders sequences by descending priority, then by arrival.
func compareSequences(a, b *sequence) int {
	if a.submit.Priority != b.submit.Priority {
		return int(b.submit.Priority) - int(a.submit.Priority)
	}
	if a.order < b.order {
		return -1
	}
	return 1
}

func insertOrdered(list []*sequence, s *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(list, s, compareSequences)
	return slices.Insert(list, i, s)
}

func removeFrom(list []*sequence, s *sequence) []*sequence {
	i := slices.Index(list, s)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// endHeap holds the decoding sequences, the one that ends first on top.
type endHeap []*sequence

func (h endHeap) Len() int { return len(h) }

func (h endHeap) Less(i, j int) bool {
	if h[i].endStep != h[j].endStep {
		return h[i].endStep < h[j].endStep
	}
	return h[i].order < h[j].order
}

func (h endHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapAt = i
	h[j].heapAt = j
}

// Push implements heap.Interface.
func (h *endHeap) Push(x any) {
	s := x.(*sequence)
	s.heapAt = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *endHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}

// startDecode moves a sequence whose prompt is done to phaseDecode.
func (m *Model) startDecode(s *sequence) {
	s.phase = phaseDecode
	s.joinStep = m.step
	s.endStep = m.step + s.total - s.out
	s.decodeAt = len(m.decoding)
	m.decoding = append(m.decoding, s)
	heap.Push(&m.ends, s)
}

// stopDecode removes a sequence from the decoding ones; the caller sets its new phase.
func (m *Model) stopDecode(s *sequence) {
	s.out = s.output(m.step)
	last := len(m.decoding) - 1
	m.decoding[s.decodeAt] = m.decoding[last]
	m.decoding[s.decodeAt].decodeAt = s.decodeAt
	m.decoding[last] = nil
	m.decoding = m.decoding[:last]
	heap.Remove(&m.ends, s.heapAt)
}
