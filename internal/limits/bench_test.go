package limits

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"trefoilpath.org/trefoilpath/internal/declaration"
	"trefoilpath.org/trefoilpath/internal/wire"
)

func benchAccounts(n int) map[wire.AccountID]declaration.Limits {
	accounts := make(map[wire.AccountID]declaration.Limits, n)
	for i := range n {
		accounts[wire.AccountID(fmt.Sprintf("account-%04d", i))] = declaration.Limits{
			RequestsPerSecond: 1e6, TokensPerSecond: 1e9, BurstSeconds: 2, Concurrency: 1000,
		}
	}
	return accounts
}

func BenchmarkAdmitAndSettle(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			f := newFleet(b, 1, 1, benchAccounts(n))
			ids := accountIDs(benchAccounts(n))
			f.run(maxListLag + time.Second)
			m := f.nodes[0].m
			for _, id := range ids {
				m.Admit(f.now, id, 100)
				m.Release(f.now, id, 100, 100)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				id := ids[i%n]
				i++
				if m.Admit(f.now, id, 0).OK {
					m.Release(f.now, id, 0, 0)
				}
			}
		})
	}
}

// BenchmarkControlBytes reports the bytes per second that an entry sends for
// the limits, on average and at the entry that sends most, while each account
// is used at ten entries. The largest size is one region of the target
// deployment (package capacity).
func BenchmarkControlBytes(b *testing.B) {
	for _, size := range []struct{ entries, accounts int }{{3, 10}, {30, 500}, {107, 2025}} {
		b.Run(fmt.Sprintf("entries=%d/accounts=%d", size.entries, size.accounts), func(b *testing.B) {
			for b.Loop() {
				mean, most, messages := controlBytes(b, size.entries, size.accounts)
				b.ReportMetric(mean, "B/s/node")
				b.ReportMetric(most, "B/s/busiest")
				b.ReportMetric(messages, "msg/s/node")
			}
		})
	}
}

func controlBytes(b *testing.B, entries, accounts int) (mean, most, messages float64) {
	const measured = 60 * time.Second
	limits := benchAccounts(accounts)
	ids := accountIDs(limits)
	f := &benchFleet{nodes: make(map[wire.NodeID]*Core), sentBytes: make(map[wire.NodeID]int)}
	for i := range entries {
		id := wire.NodeID(fmt.Sprintf("entry-%03d", i))
		f.order = append(f.order, id)
		f.nodes[id] = New(Config{Self: id, Incarnation: 1, Region: testRegion, ListLag: time.Second})
	}
	snapshot := &declaration.Snapshot{Accounts: make(map[wire.AccountID]*declaration.Account)}
	for _, id := range ids {
		snapshot.Accounts[id] = &declaration.Account{ID: id, Limits: limits[id]}
	}
	var peers []Peer
	for _, id := range f.order {
		peers = append(peers, Peer{Node: id, Region: testRegion})
	}
	for _, id := range f.order {
		f.nodes[id].SetSnapshot(0, snapshot)
		f.nodes[id].SetPeers(0, peers)
	}
	warm := 40 * time.Second
	for now := time.Duration(0); now < warm+measured; now += 20 * time.Millisecond {
		if now == warm {
			clear(f.sentBytes)
			f.messages, f.offered, f.admitted = 0, 0, 0
		}
		for i := range max(accounts/50, 1) { // each account once a second, or more often
			a := (int(now/(20*time.Millisecond))*max(accounts/50, 1) + i) % accounts
			node := f.order[(a*7+int(now/time.Second)%10)%entries]
			f.offered++
			if f.nodes[node].Admit(now, ids[a], 100).OK {
				f.admitted++
				f.nodes[node].Release(now, ids[a], 100, 100)
			}
		}
		f.exchange(b, now)
	}
	total := 0
	for _, sent := range f.sentBytes {
		total += sent
		most = max(most, float64(sent)/measured.Seconds())
	}
	b.ReportMetric(float64(f.admitted)/float64(f.offered), "admitted")
	nodes := measured.Seconds() * float64(entries)
	return float64(total) / nodes, most, float64(f.messages) / nodes
}

// benchFleet delivers messages at once and counts their bytes.
type benchFleet struct {
	order     []wire.NodeID
	nodes     map[wire.NodeID]*Core
	sentBytes map[wire.NodeID]int
	messages  int

	offered, admitted int
}

func (f *benchFleet) exchange(b *testing.B, now time.Duration) {
	for busy := true; busy; {
		busy = false
		for _, id := range f.order {
			m := f.nodes[id]
			if m.Next() <= now {
				m.Tick(now)
			}
			for _, msg := range m.TakePeerMessages() {
				busy = true
				raw, err := cbor.Marshal(msg.Msg)
				if err != nil {
					b.Fatal(err)
				}
				f.sentBytes[id] += len(raw)
				f.messages++
				f.nodes[msg.Peer].HandlePeerMessage(now, id, msg.Msg)
			}
		}
	}
}

// BenchmarkHomeLoss reports the longest time, in virtual seconds, for which an
// entry may use nothing of an account after the account's home is lost.
func BenchmarkHomeLoss(b *testing.B) {
	for b.Loop() {
		worst := time.Duration(0)
		for seed := range uint64(20) {
			f := newFleet(b, seed, 3, oneAccount(largeLimits))
			f.run(maxListLag + time.Second)
			home := f.node(f.nodes[0].m.Home("antigua"))
			var away *node
			for _, n := range f.nodes {
				if n != home {
					away = n
				}
			}
			f.offer(away, "antigua", 10, time.Duration(2000+50*seed)*time.Millisecond)
			home.up = false
			without := time.Duration(0)
			for end := f.now + 10*time.Second; f.now < end; f.step() {
				if f.usable(away, "antigua").concurrency == 0 {
					without += step
				}
			}
			worst = max(worst, without)
		}
		b.ReportMetric(worst.Seconds(), "worst-s-without-share")
	}
}

// BenchmarkAccountState reports the heap bytes of one account in use, at its
// home and at an entry that uses it. The target deployment has 8,100 accounts
// (package capacity).
func BenchmarkAccountState(b *testing.B) {
	for _, n := range []int{100, 1000, 8100} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, 1, 2, benchAccounts(n))
				f.run(maxListLag + time.Second)
				before := heap()
				for _, id := range accountIDs(benchAccounts(n)) {
					f.admit(f.nodes[0], id, 0)
				}
				f.now += step
				f.act(f.nodes[0])
				f.now += 2 * step
				f.act(f.nodes[1])
				b.ReportMetric(float64(heap()-before)/float64(n), "B/account")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC() // the first run may leave memory of the last cycle unswept
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
