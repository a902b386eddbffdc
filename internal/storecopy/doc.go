// Package storecopy caches the keys under one prefix of the platform's store. A
// watch delivers changes. Since a watch can silently stop delivering or lose its
// history, the keys are also listed periodically and fetched from a peer with a
// newer copy. The cached copy stays usable during outages of the store.
package storecopy
