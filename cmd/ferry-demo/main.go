// Command ferry-demo starts a small system in one process.
package main

func main() {}
