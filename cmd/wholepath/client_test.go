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

// runClient runs the command line client and returns its exit code and output.
func runClient(stdin string, args ...string) (code int, stdout, stderr string) {
	GinkgoHelper()
	var out, errOut bytes.Buffer
	cmd := exec.Command(filepath.Join(programs, "chivespindle"), args...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), out.String(), errOut.String()
	}
	Expect(err).NotTo(HaveOccurred())
	return 0, out.String(), errOut.String()
}

// writeConfig writes an operator's configuration to a file.
func (f *testFleet) writeConfig(name, text string) string {
	GinkgoHelper()
	file := filepath.Join(f.dir, name)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}
