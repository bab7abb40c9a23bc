package slopes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"chivespindle.example/adapters/platform"
	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/fleettext"
	"chivespindle.example/core/gossip"
)

// maxConfigBytes is the largest configuration that the platform stores.
const maxConfigBytes = 1 << 20

// serviceSizes are numbers of services of about 130 bytes each; the last is
// just below maxConfigBytes.
var serviceSizes = []int{80, 800, 7900}

// oldTimeout and newTimeout are the values before and after the change of one
// section.
const oldTimeout, newTimeout = "45s", "46s"

func configOf(services int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[fleet]\nname = large\n[version v1]\nmanifest = %s\n", fleet.DigestOf([]byte("v1")))
	for i := range services {
		fmt.Fprintf(&b, "[service service-%d]\nkind = model\nversion = v1\nspread = origin\n", i)
		fmt.Fprintf(&b, "origin_copies = 1.5\norigin_rate = 50MB\ndrain_timeout = %s\n", oldTimeout)
	}
	return b.Bytes()
}

// Text measures the operator's configuration by its size: the memory that it
// retains, the processor time of a watcher that reads a changed configuration
// completely, and that of the other processes, which apply the changed section
// that a peer sends.
func Text() ([]Slope, error) {
	kept := Slope{Name: "text_memory", Of: "text_bytes", Unit: "B", Target: maxConfigBytes, Budget: MemoryBudget}
	whole := Slope{Name: "text_reload", Of: "text_bytes", Unit: "ms", Target: maxConfigBytes}
	delta := Slope{Name: "text_apply", Of: "text_bytes", Unit: "ms", Target: maxConfigBytes}
	sent := Slope{Name: "text_delta", Of: "text_bytes", Unit: "B", Target: maxConfigBytes}
	for _, services := range serviceSizes {
		text := configOf(services)
		base, err := fleettext.Load("text", text)
		if err != nil {
			return nil, err
		}
		changed := bytes.Replace(text, []byte(oldTimeout), []byte(newTimeout), 1)
		result, err := fleettext.Reload("text", changed, base)
		if err != nil {
			return nil, err
		}
		d := fleettext.NewDelta(base.Outline(), result)
		size, err := encodedSize(d.Changed)
		if err != nil {
			return nil, err
		}
		bytes := float64(len(text))
		kept.Points = append(kept.Points, Point{bytes, retainedHeap(func() *fleettext.Fleet { return mustLoad(text) })})
		whole.Points = append(whole.Points, Point{bytes, cpuPerCall(func() { _, _ = fleettext.Reload("text", changed, base) })})
		delta.Points = append(delta.Points, Point{bytes, cpuPerCall(func() { _, _ = fleettext.Apply("text", base, d) })})
		sent.Points = append(sent.Points, Point{bytes, float64(size)})
	}
	return []Slope{kept, whole, delta, sent}, nil
}

// mustLoad loads a configuration that is known to be valid.
func mustLoad(text []byte) *fleettext.Fleet {
	f, err := fleettext.Load("text", text)
	if err != nil {
		panic(err)
	}
	return f
}

// ListBody is the name of the slope for the size of the instance list.
const ListBody = "list_body"

// List measures one read of the platform's instance list: the bytes of its
// body, and the processor time to read and check it and to update the table.
func List() ([]Slope, error) {
	body := Slope{Name: ListBody, Of: "fleet_processes", Unit: "B", Target: Processes}
	read := Slope{Name: "list_read", Of: "fleet_processes", Unit: "ms", Target: Processes}
	for _, n := range fleetSizes {
		raw, err := json.Marshal(simInstances(n, manyServices))
		if err != nil {
			return nil, failure.Internal.Wrap(err, "encode the list")
		}
		list, err := platform.NewInstanceList(platform.InstanceListOptions{
			BaseURL: "http://127.0.0.1:1", Client: &http.Client{Transport: cannedTransport(raw)}})
		if err != nil {
			return nil, err
		}
		k := newNodeTable(n)
		cost, err := readCost(list, k)
		if err != nil {
			return nil, err
		}
		body.Points = append(body.Points, Point{float64(n), float64(len(raw))})
		read.Points = append(read.Points, Point{float64(n), cost})
	}
	return []Slope{body, read}, nil
}

func readCost(list gossip.InstanceList, k *nodeTable) (float64, error) {
	var failed error
	cost := cpuPerCall(func() {
		instances, err := list.Instances(background)
		if err != nil {
			failed = err
			return
		}
		k.table.SetListed(k.now, instances)
	})
	return cost, failed
}

// cannedTransport responds to every request with the same body, without a
// socket.
type cannedTransport []byte

// RoundTrip implements http.RoundTripper.
func (c cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode:    http.StatusOK,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{"Content-Type": {"application/json"}},
		ContentLength: int64(len(c)),
		Body:          io.NopCloser(bytes.NewReader(c)),
		Request:       r,
	}, nil
}
