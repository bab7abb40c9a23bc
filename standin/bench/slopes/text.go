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

// maxText is the largest text that the platform holds, in bytes.
const maxText = 1 << 20

// textSizes are in services of about 130 bytes each; the last is just below
// maxText.
var textSizes = []int{80, 800, 7900}

// oldTimeout and newTimeout are the change of one section.
const oldTimeout, newTimeout = "45s", "46s"

func textOf(services int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[fleet]\nname = large\n[version v1]\nmanifest = %s\n", fleet.DigestOf([]byte("v1")))
	for i := range services {
		fmt.Fprintf(&b, "[service service-%d]\nkind = model\nversion = v1\nspread = origin\n", i)
		fmt.Fprintf(&b, "origin_copies = 1.5\norigin_rate = 50MB\ndrain_timeout = %s\n", oldTimeout)
	}
	return b.Bytes()
}

// Text measures the operators' text by its size: what it keeps in memory, what
// a watcher spends on a change that it reads whole, and what the others spend
// on the changed section that a peer sends.
func Text() ([]Slope, error) {
	kept := Slope{Name: "text_memory", Of: "text_bytes", Unit: "B", Target: maxText, Budget: MemoryBudget}
	whole := Slope{Name: "text_reload", Of: "text_bytes", Unit: "ms", Target: maxText}
	delta := Slope{Name: "text_apply", Of: "text_bytes", Unit: "ms", Target: maxText}
	sent := Slope{Name: "text_delta", Of: "text_bytes", Unit: "B", Target: maxText}
	for _, services := range textSizes {
		text := textOf(services)
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
		kept.Points = append(kept.Points, Point{bytes, heapOf(func() *fleettext.Fleet { return mustLoad(text) })})
		whole.Points = append(whole.Points, Point{bytes, perCall(func() { _, _ = fleettext.Reload("text", changed, base) })})
		delta.Points = append(delta.Points, Point{bytes, perCall(func() { _, _ = fleettext.Apply("text", base, d) })})
		sent.Points = append(sent.Points, Point{bytes, float64(size)})
	}
	return []Slope{kept, whole, delta, sent}, nil
}

// mustLoad loads a text that was loaded before.
func mustLoad(text []byte) *fleettext.Fleet {
	f, err := fleettext.Load("text", text)
	if err != nil {
		panic(err)
	}
	return f
}

// ListBody names the slope of the size of the instance list.
const ListBody = "list_body"

// List measures one read of the platform's instance list: the bytes of its
// body and the time to read and check it, and to take it into the table.
func List() ([]Slope, error) {
	body := Slope{Name: ListBody, Of: "fleet_processes", Unit: "B", Target: Processes}
	read := Slope{Name: "list_read", Of: "fleet_processes", Unit: "ms", Target: Processes}
	for _, n := range fleetSizes {
		raw, err := json.Marshal(phantoms(n, manyServices))
		if err != nil {
			return nil, failure.Internal.Wrap(err, "encode the list")
		}
		list, err := platform.NewInstanceList(platform.InstanceListOptions{
			BaseURL: "http://127.0.0.1:1", Client: &http.Client{Transport: canned(raw)}})
		if err != nil {
			return nil, err
		}
		k := newKnown(n)
		cost, err := readCost(list, k)
		if err != nil {
			return nil, err
		}
		body.Points = append(body.Points, Point{float64(n), float64(len(raw))})
		read.Points = append(read.Points, Point{float64(n), cost})
	}
	return []Slope{body, read}, nil
}

func readCost(list gossip.InstanceList, k *known) (float64, error) {
	var failed error
	cost := perCall(func() {
		instances, err := list.Instances(background)
		if err != nil {
			failed = err
			return
		}
		k.table.SetListed(k.now, instances)
	})
	return cost, failed
}

// canned answers every request with one body, without a socket.
type canned []byte

// RoundTrip implements http.RoundTripper.
func (c canned) RoundTrip(r *http.Request) (*http.Response, error) {
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
