// Package standin provides small stand-ins for the services of the platform and for
// endpoints, over plain HTTP and JSON on loopback: model engines, the
// key-value service, plain services and the VM list. Each has methods that inject
// faults. Tests, the dev command and load runs use them; production code does not.
package standin
