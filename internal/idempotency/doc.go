// Package idempotency keeps the records that let a call with an idempotency key
// run at most once. A record is created in the platform's store by
// compare-and-swap with a nonce before the call is dispatched; a repeat of the
// call finds the record and gets the stored answer, waits for it, or is told that
// the outcome is unknown. A call runs only after the store has confirmed that
// the record under its key is the one created for this call.
package idempotency
