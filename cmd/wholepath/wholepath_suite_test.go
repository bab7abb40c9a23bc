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

// Waits end when their condition holds. waitTimeout only ends a run that would
// never end, also on a heavily loaded machine.
const (
	waitTimeout  = 90 * time.Second
	pollInterval = 50 * time.Millisecond
)

// programs is the directory of the built programs.
var programs string

// fleetStarts start the fleets of all Describes, so that their processes'
// initial wait for each other passes only once. A Describe waits for its own
// fleet in a BeforeAll.
var fleetStarts []func()

// startWithSuite registers start to run when the suite begins.
func startWithSuite(start func()) { fleetStarts = append(fleetStarts, start) }

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(waitTimeout)
	SetDefaultEventuallyPollingInterval(pollInterval)
	programs = tempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "chivespindle.example/cmd/...")
	build.Stdout, build.Stderr = GinkgoWriter, GinkgoWriter
	Expect(build.Run()).To(Succeed(), "build of the programs")
	Expect(daemonPath()).To(BeAnExistingFile())
	for _, start := range fleetStarts {
		start()
	}
})

// tempDir creates a directory that is removed after the suite.
func tempDir() string {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "wholepath-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	return dir
}

func daemonPath() string { return filepath.Join(programs, "chivespindled") }

// logTail returns the last lines of a log, without those of single requests and
// spans.
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
