package settings_test

import (
	"bytes"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/spf13/pflag"
	"go.uber.org/zap/zapcore"

	"chivespindle.example/adapters/settings"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
)

var update = flag.Bool("update", false, "regenerate the expected errors in testdata/bad")

const (
	examples     = "../../examples/settings/"
	minimalEntry = "testdata/good/entry-minimal.ini"
)

// roleOf returns the role contained in the name of a settings file.
func roleOf(path string) fleet.Role {
	base := filepath.Base(path)
	for _, role := range []fleet.Role{fleet.RoleEntry, fleet.RoleAgent} {
		if strings.Contains(base, string(role)) {
			return role
		}
	}
	return ""
}

func filesIn(pattern string) []string {
	files, err := filepath.Glob(pattern)
	if err != nil {
		panic(err)
	}
	return files
}

var _ = Describe("Load", func() {
	for _, path := range append(filesIn("testdata/good/*.ini"), filesIn(examples+"*.ini")...) {
		It("accepts "+path, func() {
			loaded, err := settings.Load(roleOf(path), path, nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(loaded.Role).To(Equal(roleOf(path)))
		})
	}

	for _, path := range filesIn("testdata/bad/*.ini") {
		It("reports every fault of "+path, func() {
			_, err := settings.Load(roleOf(path), path, nil, nil)
			Expect(err).To(HaveOccurred())
			Expect(errorx.IsOfType(err, failure.Invalid)).To(BeTrue())
			golden := strings.TrimSuffix(path, ".ini") + ".txt"
			if *update {
				Expect(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o644)).To(Succeed())
			}
			text, readErr := os.ReadFile(golden)
			Expect(readErr).NotTo(HaveOccurred())
			Expect(err.Error() + "\n").To(Equal(string(text)))
			Expect(settings.FaultsOf(err)).To(HaveLen(strings.Count(string(text), "\n") - 1))
		})
	}

	It("reads every key of an agent", func() {
		loaded, err := settings.Load(fleet.RoleAgent, "testdata/good/agent-full.ini", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(*loaded).To(Equal(settings.Settings{
			Role:     fleet.RoleAgent,
			Instance: settings.Instance{ID: "agent-7", Zone: "trans-amadi", Region: "Port Harcourt", Service: "member-portal"},
			Listen:   settings.Listen{Peer: netip.MustParseAddrPort("[::1]:7100"), Ops: netip.MustParseAddrPort("[::]:7190")},
			Platform: settings.Platform{
				ConfigURL: "http://127.0.0.1:4/config", InstancesURL: "http://[::1]:5/instances",
				OriginURL: "http://127.0.0.1:6", StoreURL: "http://127.0.0.1:7",
				WatchWait: 90 * time.Second, ListInterval: 500 * time.Millisecond, CallTimeout: 250 * time.Millisecond,
			},
			TLS: settings.TLS{
				Authority: "/etc/chivespindle/authority.pem", Certificate: "testdata/good/mine/c#1.pem",
				Key: "testdata/k.pem", ReloadInterval: 24 * time.Hour,
			},
			Backend: settings.Backend{Kind: settings.BackendPlain, URL: "http://127.0.0.1:8"},
			Link:    settings.Link{BytesPerSecond: 1_250_000_000, WeightsShare: 0.5, StallTimeout: 700 * time.Millisecond},
			Limits:  settings.Limits{MaxInFlight: 7, DrainTimeout: 5 * time.Minute, MemoryLimit: 2_000_000_000},
			Log:     settings.Log{Level: zapcore.DebugLevel},
			Trace:   settings.Trace{Spans: settings.SpansToLog},
			Agent:   settings.Agent{Stage: settings.StageMemory, MaxUploads: 9, MaxFetches: 256},
		}))
		Expect(loaded.Self()).To(Equal(fleet.Instance{
			ID: "agent-7", Role: fleet.RoleAgent, Service: "member-portal",
			Place:    fleet.Place{Zone: "trans-amadi", Region: "Port Harcourt"},
			PeerAddr: netip.MustParseAddrPort("[::1]:7100"),
		}))
	})

	It("applies the defaults of the role", func() {
		loaded, err := settings.Load(fleet.RoleEntry, minimalEntry, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Platform.WatchWait).To(Equal(30 * time.Second))
		Expect(loaded.Limits).To(Equal(settings.Limits{MaxInFlight: 1024, DrainTimeout: 30 * time.Second, MemoryLimit: 64_000_000}))
		Expect(loaded.Entry).To(Equal(settings.Entry{AddressTTL: 10 * time.Second, MaxBody: 1_000_000, BodyTimeout: 30 * time.Second, DefaultDeadline: 30 * time.Second}))
		Expect(loaded.Limits.ConnectionLimit()).To(Equal(2048))
		Expect(loaded.Agent).To(BeZero())
		Expect(loaded.Backend).To(BeZero())
	})

	It("takes the number of connections as it is given", func() {
		loaded, err := settings.Load(fleet.RoleEntry, minimalEntry, nil, map[string]string{"limits.max_connections": "300"})
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Limits.ConnectionLimit()).To(Equal(300))
	})

	DescribeTable("prefers flags over the environment, the file and the default",
		func(env []string, flags map[string]string, want time.Duration) {
			loaded, err := settings.Load(fleet.RoleEntry, minimalEntry, env, flags)
			Expect(err).NotTo(HaveOccurred())
			Expect(loaded.Platform.ListInterval).To(Equal(want))
		},
		Entry("default", nil, nil, 2*time.Second),
		Entry("environment", []string{"HOME=/", "CHIVESPINDLE_PLATFORM_LIST_EVERY=3s"}, nil, 3*time.Second),
		Entry("flag", []string{"CHIVESPINDLE_PLATFORM_LIST_EVERY=3s"}, map[string]string{"platform.list_every": "4s"}, 4*time.Second),
	)

	It("checks values that are overridden by another source", func() {
		env := []string{"CHIVESPINDLE_INSTANCE_ID=a/b", "CHIVESPINDLE_LISTEN_PORT=7", "CHIVESPINDLE_AGENT_FETCHES=2"}
		flags := map[string]string{"instance.id": "e2", "log.level": "", "nonsense": "x"}
		_, err := settings.Load(fleet.RoleEntry, minimalEntry, env, flags)
		Expect(err).To(MatchError(`chivespindle.invalid.settings: 5 faults
environment: CHIVESPINDLE_LISTEN_PORT: names no setting
environment: CHIVESPINDLE_AGENT_FETCHES: is a setting of the role agent; this is an entry
environment: CHIVESPINDLE_INSTANCE_ID: must not hold '/'
flags: --log.level: has no value; leave it out for the default
flags: --nonsense: names no setting`))
	})

	It("works without a file", func() {
		_, err := settings.Load(fleet.RoleEntry, "", nil, nil)
		Expect(settings.FaultsOf(err)).To(HaveLen(11))
		Expect(err.Error()).To(ContainSubstring("flags: --instance.id or CHIVESPINDLE_INSTANCE_ID is required"))
	})

	It("reports only the reason why a file cannot be read", func() {
		_, err := settings.Load(fleet.RoleEntry, "testdata/none.ini", nil, nil)
		Expect(err).To(MatchError("chivespindle.invalid.settings: 1 fault\ntestdata/none.ini: cannot be read: no such file or directory"))
		_, err = settings.Load(fleet.RoleEntry, "/dev/zero", nil, nil)
		Expect(err).To(MatchError("chivespindle.invalid.settings: 1 fault\n/dev/zero: is larger than 1MB"))
	})

	It("rejects a role without settings", func() {
		_, err := settings.Load(fleet.RoleOperator, minimalEntry, nil, nil)
		Expect(err).To(MatchError(ContainSubstring(`role "operator" has no settings`)))
	})

	It("returns only the flags that were set", func() {
		flags := pflag.NewFlagSet("entry", pflag.ContinueOnError)
		flags.String("settings", "", "not a setting")
		settings.AddFlags(flags, fleet.RoleEntry)
		Expect(flags.Lookup("agent.fetches")).To(BeNil())
		Expect(flags.Parse([]string{"--settings", "x.ini", "--log.level=warn"})).To(Succeed())
		Expect(settings.FlagValues(flags)).To(Equal(map[string]string{"log.level": "warn"}))
	})
})

var _ = Describe("the table of keys", func() {
	It("has a doc, a type, roles and a unique name for each key", func() {
		seen := make(map[string]bool)
		for _, key := range settings.Keys() {
			Expect(key.Doc).To(HaveSuffix("."), key.Flag())
			Expect(key.Type).NotTo(BeEmpty(), key.Flag())
			Expect(key.Roles).NotTo(BeEmpty(), key.Flag())
			Expect(key.Required && key.Default != "").To(BeFalse(), key.Flag())
			Expect(seen).NotTo(HaveKey(key.Env()))
			seen[key.Env()] = true
		}
	})

	It("matches docs/SETTINGS.md", func() {
		var page bytes.Buffer
		Expect(settings.WriteReference(&page)).To(Succeed())
		committed, err := os.ReadFile("../../docs/SETTINGS.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(committed)).To(Equal(page.String()), "run go generate ./... in adapters/settings")
	})
})

// FuzzLoad passes arbitrary text as the settings file. Load must either succeed or
// report faults within the file, without returning settings.
func FuzzLoad(f *testing.F) {
	for _, path := range append(filesIn("testdata/*/*.ini"), filesIn(examples+"*.ini")...) {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text, roleOf(path) == fleet.RoleAgent)
	}
	f.Fuzz(func(t *testing.T, text []byte, agent bool) {
		g := NewWithT(t)
		role := fleet.RoleEntry
		if agent {
			role = fleet.RoleAgent
		}
		path := filepath.Join(t.TempDir(), "fuzz.ini")
		g.Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
		loaded, err := settings.Load(role, path, nil, nil)
		if err == nil {
			g.Expect(loaded.Self().PeerAddr.IsValid()).To(BeTrue())
			return
		}
		g.Expect(loaded).To(BeNil())
		faults := settings.FaultsOf(err)
		g.Expect(faults).NotTo(BeEmpty())
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, fault := range faults {
			g.Expect(fault.Reason).NotTo(BeEmpty())
			g.Expect(fault.Line).To(BeNumerically("<=", lines))
		}
	})
}
