// Package controller is the placement duty of one failure domain: which engine
// runs which model, version and adapters. Any entry of the domain may carry it
// out while it holds the domain's lease in the platform's store; the endpoints'
// reports are its only other memory, so a successor starts from what runs.
package controller
