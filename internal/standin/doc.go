// Package standin serves small stand-ins for what the platform and the
// endpoints provide, over plain HTTP and JSON on loopback: model engines, the
// key-value service, plain services and the VM list. Each has methods that inject
// faults. Tests, the dev command and load runs use them; production code does not.
package standin
