// Package bytebudget bounds the bytes that a process holds for its peers: what they have sent or
// have not taken yet. One Account is shared by all parts of a process. Bytes are charged when they
// are held, not when they are announced.
package bytebudget
