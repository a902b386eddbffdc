// Package storecopy keeps a copy of the keys under one prefix of the platform's
// store. A watch brings changes; since a watch can go deaf or lose its history,
// the keys are also listed now and then, and a peer that has a newer copy hands
// it on. The copy outlives outages of the store.
package storecopy
