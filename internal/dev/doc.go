// Package dev runs the whole shape of an example deployment in one process on
// loopback: stand-ins for the platform, the engines and the plain services, and
// the real entries and agents between them, joined over real sockets with a
// certificate authority of its own.
package dev
