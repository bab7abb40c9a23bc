package hostileclients_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHostileClients(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Hostile clients")
}

// Waits end when their condition holds. waitTimeout only ends a run that would never end.
const (
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// programs is the directory of the built programs.
var programs string

// fleets are those that no spec has used. They start together, since a new fleet needs some
// seconds until it serves requests. Each spec has its own, whose peak of memory is its own.
var fleets []*testFleet

// specs is the number of specs.
const specs = 11

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(waitTimeout)
	SetDefaultEventuallyPollingInterval(pollInterval)
	programs = tempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "chivespindle.example/cmd/chivespindled")
	build.Stdout, build.Stderr = GinkgoWriter, GinkgoWriter
	Expect(build.Run()).To(Succeed(), "build of the daemon")
	for range specs {
		fleets = append(fleets, startFleet())
	}
})

// takeFleet returns a fleet that serves requests.
func takeFleet() *testFleet {
	GinkgoHelper()
	Expect(fleets).NotTo(BeEmpty())
	f := fleets[0]
	fleets = fleets[1:]
	f.waitServing()
	return f
}

// tempDir creates a directory that is removed after the suite.
func tempDir() string {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "hostileclients-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	return dir
}
