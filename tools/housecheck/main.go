// Command housecheck checks the rules of the house style that no linter
// knows. It prints one line per finding and exits with 1 if there is one.
//
// Usage: housecheck [directory]
package main

import (
	"fmt"
	"os"
)

const (
	exitFindings = 1
	exitFailed   = 2
)

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	findings, err := checkTree(os.DirFS(root))
	if err != nil {
		fmt.Fprintln(os.Stderr, "housecheck:", err)
		os.Exit(exitFailed)
	}
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		os.Exit(exitFindings)
	}
}
