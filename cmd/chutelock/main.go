// Command chutelock is the node.
package main

func main() {}
