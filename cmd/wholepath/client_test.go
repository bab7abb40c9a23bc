package wholepath_test

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// client runs the client program and returns its exit code and what it
// printed.
func client(stdin string, args ...string) (code int, stdout, stderr string) {
	GinkgoHelper()
	var out, problems bytes.Buffer
	cmd := exec.Command(filepath.Join(programs, "chivespindle"), args...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &problems
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), out.String(), problems.String()
	}
	Expect(err).NotTo(HaveOccurred())
	return 0, out.String(), problems.String()
}

// writeText puts an operator's text into a file.
func (f *testFleet) writeText(name, text string) string {
	GinkgoHelper()
	file := filepath.Join(f.dir, name)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}
