// Package standin serves small stand-ins for what the platform and the
// endpoints provide, over plain HTTP and JSON on loopback: model engines, the
// key-value service, plain services and the VM list. Each can be told to fail.
// Tests, the dev command and load runs use them; nothing in production does.
package standin
