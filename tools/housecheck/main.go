// Command housecheck checks the project's style rules that no linter covers. It
// prints one line per finding and exits with status 1 if there are any.
// It exits with status 2 if a file cannot be read or parsed.
//
// Usage: housecheck [directory]
package main

import (
	"fmt"
	"os"
)

const (
	exitFindings = 1
	exitError    = 2
)

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	findings, err := checkTree(os.DirFS(root))
	if err != nil {
		fmt.Fprintln(os.Stderr, "housecheck:", err)
		os.Exit(exitError)
	}
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		os.Exit(exitFindings)
	}
}
