package wholepath_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
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

// starts begin the fleets of all Describes, so that their processes' first wait
// for each other passes only once. A Describe waits for its own in a BeforeAll.
var starts []func()

// startWithSuite lets start run when the suite begins.
func startWithSuite(start func()) { starts = append(starts, start) }

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(patience)
	SetDefaultEventuallyPollingInterval(look)
	programs = tempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "chivespindle.example/cmd/...")
	build.Stdout, build.Stderr = GinkgoWriter, GinkgoWriter
	Expect(build.Run()).To(Succeed(), "build of the programs")
	Expect(daemonPath()).To(BeAnExistingFile())
	for _, start := range starts {
		start()
	}
})

// tempDir makes a folder that is removed after the suite.
func tempDir() string {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "wholepath-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	return dir
}

func daemonPath() string { return filepath.Join(programs, "chivespindled") }

// logTail returns the last lines of a log, without those of single requests
// and spans.
func logTail(path string, lines int) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	kept := slices.DeleteFunc(strings.Split(string(data), "\n"), func(line string) bool {
		return strings.Contains(line, "event=request ") || strings.Contains(line, "event=request_answered ") ||
			strings.Contains(line, "event=span ")
	})
	return strings.Join(kept[max(0, len(kept)-lines):], "\n")
}
