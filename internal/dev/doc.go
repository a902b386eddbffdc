// Package dev runs an example deployment in one process on loopback, with all its
// entries, agents and endpoints. The platform, the engines and the plain services
// are stand-ins; entries and agents are the real ones and communicate over sockets,
// with certificates of an authority created for the run.
package dev
