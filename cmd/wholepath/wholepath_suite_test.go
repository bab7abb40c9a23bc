package wholepath_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWholePath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Whole path")
}

// Waits end when their condition holds. These bounds only end a run that would
// never end, also on a machine with much else to do.
const (
	patience = 90 * time.Second
	look     = 50 * time.Millisecond
)

// programs is the folder of the built programs.
var programs string

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(patience)
	SetDefaultEventuallyPollingInterval(look)
	programs = GinkgoT().TempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "chivespindle.example/cmd/...")
	build.Stdout, build.Stderr = GinkgoWriter, GinkgoWriter
	Expect(build.Run()).To(Succeed(), "build of the programs")
	Expect(daemonPath()).To(BeAnExistingFile())
})

func daemonPath() string { return filepath.Join(programs, "chivespindled") }

// logTail returns the last bytes of a log.
func logTail(path string, size int) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-size):])
}
