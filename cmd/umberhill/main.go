// Command umberhill is a placeholder until its package lands.
package main

func main() {}
