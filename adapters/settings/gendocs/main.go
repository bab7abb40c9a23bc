// Command gendocs generates the reference of the settings.
package main

import (
	"bytes"
	"flag"
	"log"
	"os"

	"chivespindle.example/adapters/settings"
)

const pageMode = 0o644

func main() {
	out := flag.String("out", "", "file to write")
	flag.Parse()
	if err := write(*out); err != nil {
		log.Fatal(err)
	}
}

func write(path string) error {
	var page bytes.Buffer
	if err := settings.WriteReference(&page); err != nil {
		return err
	}
	return os.WriteFile(path, page.Bytes(), pageMode)
}
