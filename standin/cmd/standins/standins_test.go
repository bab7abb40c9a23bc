package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	adapter "chivespindle.example/adapters/platform"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
)

// program is a running command with the base URLs that it has printed.
type program struct {
	urls map[string]string
	logs *gbytes.Buffer
}

// start runs the command until the end of the spec.
func start(args ...string) *program {
	GinkgoHelper()
	out, logs := gbytes.NewBuffer(), gbytes.NewBuffer()
	command := newCommand()
	command.SetArgs(args)
	command.SetOut(out)
	command.SetErr(logs)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- command.ExecuteContext(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(ended).Should(Receive(BeNil()))
	})
	Eventually(out).Should(gbytes.Say(`\n`))
	p := &program{urls: map[string]string{}, logs: logs}
	for _, pair := range strings.Fields(string(out.Contents())) {
		key, value, found := strings.Cut(pair, "=")
		Expect(found).To(BeTrue())
		p.urls[key] = value
	}
	return p
}

// admin sends one request to the admin interface.
func (p *program) admin(method, target, body string) (int, string) {
	GinkgoHelper()
	request, err := http.NewRequest(method, p.urls["admin"]+target, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(text)
}

// fault sets a fault and expects that the request is accepted.
func (p *program) fault(query string) {
	GinkgoHelper()
	code, text := p.admin(http.MethodPost, "/admin/faults?"+query, "")
	Expect(text).To(BeEmpty())
	Expect(code).To(Equal(http.StatusNoContent))
}

func (p *program) counters() counters {
	GinkgoHelper()
	code, text := p.admin(http.MethodGet, "/admin/counters", "")
	Expect(code).To(Equal(http.StatusOK))
	var counted counters
	Expect(json.Unmarshal([]byte(text), &counted)).To(Succeed())
	return counted
}

func weightSource(url string, stall time.Duration) *adapter.WeightSource {
	GinkgoHelper()
	source, err := adapter.NewWeightSource(adapter.WeightOptions{BaseURL: url, StallTimeout: stall})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(source.Close)
	return source
}

var _ = Describe("standins", func() {
	It("serves the configuration from its file and the one set by the admin interface", func(ctx SpecContext) {
		file := filepath.Join(GinkgoT().TempDir(), "fleet.ini")
		Expect(os.WriteFile(file, []byte("from file"), 0o600)).To(Succeed())
		p := start("--config-file", file)
		source, err := adapter.NewConfigSource(adapter.ConfigOptions{BaseURL: p.urls["config"]})
		Expect(err).NotTo(HaveOccurred())
		document, err := source.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(document.Text)).To(Equal("from file"))

		code, body := p.admin(http.MethodPost, "/admin/config", "from admin")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(MatchJSON(`{"revision":3}`))
		document, err = source.Watch(ctx, document.Revision)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(document.Text)).To(Equal("from admin"))
		Expect(p.counters().ConfigCalls).To(BeEquivalentTo(2))
		Expect(p.logs).To(gbytes.Say(`event=admin_done request="POST /admin/config"`))

		p.fault("target=config&kind=stale&revision=2")
		document, err = source.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(document.Text)).To(Equal("from file"))
		p.fault("target=config&kind=down")
		_, err = source.Read(ctx)
		Expect(errorx.IsOfType(err, failure.Unavailable)).To(BeTrue())
		p.fault("target=config&kind=up")
		document, err = source.Read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(document.Text)).To(Equal("from admin"))
	})

	It("adds instances to the list and removes them", func(ctx SpecContext) {
		p := start()
		list, err := adapter.NewInstanceList(adapter.InstanceListOptions{BaseURL: p.urls["instances"]})
		Expect(err).NotTo(HaveOccurred())
		body := `{"role":"entry","zone":"apapa-hall","region":"Lagos","peer_addr":"127.0.0.1:7100"}`
		code, _ := p.admin(http.MethodPut, "/admin/instances/entry-1", body)
		Expect(code).To(Equal(http.StatusNoContent))
		instances, err := list.Instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(instances).To(HaveLen(1))
		Expect(instances[0].ID).To(Equal(fleet.InstanceID("entry-1")))

		p.fault("target=instances&kind=lag&lag=1h")
		code, _ = p.admin(http.MethodDelete, "/admin/instances/entry-1", "")
		Expect(code).To(Equal(http.StatusNoContent))
		Expect(list.Instances(ctx)).To(HaveLen(1))
		p.fault("target=instances&kind=lag&lag=0s")
		Expect(list.Instances(ctx)).To(BeEmpty())
	})

	It("adds a model to the origin and the store and injects faults into its transfers", func(ctx SpecContext) {
		p := start("--store-requests-per-second", "0")
		code, body := p.admin(http.MethodPost, "/admin/models?name=relay&bytes=100000&chunk_bytes=60000&seed=1", "")
		Expect(code).To(Equal(http.StatusOK))
		var added modelResponse
		Expect(json.Unmarshal([]byte(body), &added)).To(Succeed())
		Expect(added.Chunks).To(Equal(2))

		for _, place := range []string{"origin", "store"} {
			source := weightSource(p.urls[place], time.Minute)
			shortTimeout := weightSource(p.urls[place], 100*time.Millisecond)
			raw, err := source.Manifest(ctx, added.Manifest)
			Expect(err).NotTo(HaveOccurred())
			manifest, err := weights.Decode(raw, added.Manifest)
			Expect(err).NotTo(HaveOccurred())

			fetch := func(from weights.Source) error {
				data, err := from.Chunk(ctx, added.Manifest, manifest.Chunks[1])
				if err != nil {
					return err
				}
				return manifest.Chunks[1].Verify(data)
			}
			Expect(fetch(source)).To(Succeed())
			p.fault("target=" + place + "&kind=cut")
			Expect(errorx.IsOfType(fetch(source), failure.Unavailable)).To(BeTrue())
			p.fault("target=" + place + "&kind=stall&count=1")
			Expect(errorx.IsOfType(fetch(shortTimeout), failure.Timeout)).To(BeTrue())
			p.fault("target=" + place + "&kind=corrupt&chunk=1&manifest=" + added.Manifest.String())
			Expect(errorx.IsOfType(fetch(source), failure.Corrupt)).To(BeTrue())
			p.fault("target=" + place + "&kind=clear")
			Expect(fetch(source)).To(Succeed())
		}
		counted := p.counters()
		Expect(counted.OriginBytes).To(BeNumerically(">", 3*40_000))
		Expect(counted.StoreBytes).To(Equal(counted.OriginBytes))
		Expect(counted.StoreRequests).To(BeEquivalentTo(6))
	})

	DescribeTable("the admin interface refuses",
		func(method, target, body string, want int, reason string) {
			p := start()
			before := p.counters()
			code, text := p.admin(method, target, body)
			Expect(text).To(ContainSubstring(reason))
			Expect(code).To(Equal(want))
			Expect(p.counters()).To(Equal(before))
		},
		Entry("a configuration that is too long", "POST", "/admin/config", strings.Repeat("x", maxConfigBytes+1), 400, "more than 1048576 bytes"),
		Entry("an instance that is not JSON", "PUT", "/admin/instances/a", "x", 400, "instance"),
		Entry("an instance with another ID than the path", "PUT", "/admin/instances/a", `{"id":"b"}`, 400, `instance has id "b"`),
		Entry("an instance without a role", "PUT", "/admin/instances/a", `{}`, 400, `role is ""`),
		Entry("an instance without an address", "PUT", "/admin/instances/a", `{"role":"agent"}`, 400, "peer_addr is missing"),
		Entry("an unknown instance", "DELETE", "/admin/instances/a", "", 404, `no instance "a"`),
		Entry("a model without a name", "POST", "/admin/models?bytes=1&chunk_bytes=1", "", 400, "needs a name"),
		Entry("a model size that is not a number", "POST", "/admin/models?name=a&bytes=1G", "", 400, `bytes is "1G"`),
		Entry("a mistyped parameter", "POST", "/admin/models?name=a&bytes=1&chunkbytes=1", "", 400, `no parameter "chunkbytes"`),
		Entry("an unknown target", "POST", "/admin/faults?target=disk&kind=down", "", 400, `target is "disk"`),
		Entry("an unknown kind", "POST", "/admin/faults?target=config&kind=cut", "", 400, `kind "cut" is unknown`),
		Entry("an unknown kind for weights", "POST", "/admin/faults?target=origin&kind=burn", "", 400, `kind "burn" is unknown`),
		Entry("a negative lag", "POST", "/admin/faults?target=instances&kind=lag&lag=-1s", "", 400, `lag is "-1s"`),
		Entry("a revision that is not kept", "POST", "/admin/faults?target=config&kind=stale&revision=9", "", 404, "revision 9 is not kept"),
		Entry("a digest that is too short", "POST", "/admin/faults?target=store&kind=cut&manifest=00", "", 400, "digest must be 64"),
		Entry("too many transfers", "POST", "/admin/faults?target=store&kind=cut&count=1000001", "", 400, "at most 1000000"),
	)

	DescribeTable("the command refuses",
		func(reason string, args ...string) {
			command := newCommand()
			command.SetArgs(args)
			command.SetOut(io.Discard)
			command.SetErr(io.Discard)
			Expect(command.ExecuteContext(context.Background())).To(MatchError(ContainSubstring(reason)))
		},
		Entry("an address outside the loopback network", "start --store", "--store", "0.0.0.0:0"),
		Entry("a file that does not exist", "--config-file", "--config-file", "/nowhere/fleet.ini"),
		Entry("an unexpected argument", "unknown command", "extra"),
	)
})
