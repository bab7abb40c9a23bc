package callerhttp_test

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chivespindle.example/adapters/callerhttp/callerhttptest"
	"chivespindle.example/core/addressing"
	"chivespindle.example/core/fleet"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// testBook returns addresses for one zone and issues keys, or fails to with err.
func testBook(err error) callerhttptest.AddressBook {
	return callerhttptest.AddressBook{
		Lookup: func(place fleet.Place) addressing.Result {
			result := addressing.Result{TTL: 1500 * time.Millisecond}
			if place.Zone == "apapa-hall" {
				result.Addresses = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:8080"), netip.MustParseAddrPort("127.0.0.1:8081")}
			}
			return result
		},
		Issue: func(service fleet.ServiceName) (string, error) { return "agent-1.key-of-" + string(service), err },
	}
}

// exchangeRaw sends a request on a new connection and returns the rendered
// response, or a line that says that the connection was closed without one.
func exchangeRaw(addr netip.AddrPort, request string) string {
	GinkgoHelper()
	conn, err := net.Dial("tcp", addr.String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(callerhttptest.WaitTimeout))).To(Succeed())
	_, err = io.WriteString(conn, request)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "(closed without an answer)\n"
	}
	Expect(err).NotTo(HaveOccurred())
	return render(response)
}

var requestID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// render formats a response as in the golden files, with values that differ from
// run to run masked.
func render(response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	var out strings.Builder
	fmt.Fprintln(&out, response.Status)
	writeHeader(&out, "", response.Header)
	fmt.Fprintf(&out, "\n%s\n", body)
	if err != nil {
		fmt.Fprintln(&out, "(cut)")
	}
	writeHeader(&out, "trailer ", response.Trailer)
	return requestID.ReplaceAllString(out.String(), "(id)")
}

func writeHeader(out io.Writer, prefix string, header http.Header) {
	var lines []string
	for name, values := range header {
		if name == "Date" {
			continue
		}
		lines = append(lines, prefix+name+": "+strings.Join(values, " | "))
	}
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
}

// expectGolden compares got with testdata/<name>.golden.
func expectGolden(name, got string) {
	GinkgoHelper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		const mode = 0o644
		Expect(os.WriteFile(path, []byte(got), mode)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)), path)
}
