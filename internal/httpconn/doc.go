// Package httpconn tells what state HTTP/1.1 connections are in, so that a server can be
// closed without dropping a request that it has read, and a client does not send one on a
// connection that the other side has closed or that may have fallen silent.
package httpconn
