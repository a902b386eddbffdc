// Command trefoilpath is the single binary of the project; each role is a subcommand.
package main

func main() {}
