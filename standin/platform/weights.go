package platform

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/fleet"
	"chivespindle.example/core/weights"
)

const (
	// maxPieceBytes is the most that one transfer sends before the next one
	// has its turn, so that transfers share the link evenly.
	maxPieceBytes = 16 << 10
	// minPieceBytes is the least, which keeps a slow link from one timer a
	// byte.
	minPieceBytes = 512
	// burstShare is the part of a second that an idle link makes up for. It
	// covers late timers, which would otherwise lower a fast link's rate.
	burstShare = 0.02
)

// WeightOptions shapes a WeightServer. The zero value has no limits.
type WeightOptions struct {
	// BytesPerSecond is the rate of the link that all transfers share; 0 is
	// no limit.
	BytesPerSecond int64
	// RequestsPerSecond is the ceiling beyond which a request is answered
	// 429; 0 is no limit.
	RequestsPerSecond float64
	// Now is the clock of the request limit; nil is time.Now.
	Now func() time.Time
}

// WeightServer is a stand-in of the origin of weights or, with a request
// limit, of the rate-limited weight store.
type WeightServer struct {
	mux      *http.ServeMux
	outage   *outage
	faults   *faultPlan
	link     *rate.Limiter
	requests *rate.Limiter
	now      func() time.Time

	mu           sync.Mutex
	models       map[fleet.Digest]storedModel
	transferRate int64 // bytes a second of each transfer; 0: no limit
	requestCount uint64
	sent         uint64
	sentOf       map[fleet.Digest]uint64
	transfers    int
}

// storedModel is what the server sends of one version.
type storedModel struct {
	manifest []byte
	chunks   [][]byte
}

// NewWeightServer returns a server that holds nothing.
func NewWeightServer(options WeightOptions) *WeightServer {
	s := &WeightServer{
		mux:      http.NewServeMux(),
		outage:   newOutage(),
		faults:   newFaultPlan(),
		link:     newByteLimiter(options.BytesPerSecond),
		requests: newRequestLimiter(options.RequestsPerSecond),
		now:      clockOrDefault(options.Now),
		models:   map[fleet.Digest]storedModel{},
		sentOf:   map[fleet.Digest]uint64{},
	}
	s.mux.HandleFunc("GET /v1/weights/{manifest}", s.getManifest)
	s.mux.HandleFunc("GET /v1/weights/{manifest}/chunks/{index}", s.getChunk)
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Add holds a version: its manifest and the bytes of its chunks by index.
// The digests of the bytes are not checked, since a real source may hold bad
// bytes. It returns the manifest's digest; failure.Invalid if the number of
// blobs is not that of the chunks.
func (s *WeightServer) Add(manifest weights.Manifest, blobs [][]byte) (fleet.Digest, error) {
	if len(blobs) != len(manifest.Chunks) {
		return fleet.Digest{}, failure.Invalid.New("%d blobs for %d chunks", len(blobs), len(manifest.Chunks))
	}
	encoded, digest, err := manifest.Encode()
	if err != nil {
		return fleet.Digest{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.models[digest] = storedModel{manifest: encoded, chunks: blobs}
	return digest, nil
}

// SetDown makes every request end with 503 until SetDown(false). Transfers
// that run go on.
func (s *WeightServer) SetDown(down bool) { s.outage.setDown(down) }

// SetSilent makes the server take requests and leave them without an answer
// until SetSilent(false). Transfers that run go on.
func (s *WeightServer) SetSilent(silent bool) { s.outage.setSilent(silent) }

// SetLinkRate changes the rate of the link that all transfers share; 0 is no
// limit.
func (s *WeightServer) SetLinkRate(bytesPerSecond int64) {
	limit, burst := byteLimit(bytesPerSecond)
	s.link.SetBurst(burst)
	s.link.SetLimit(limit)
}

// SetTransferRate makes each later transfer slow on its own, at most
// bytesPerSecond, below the link's rate; 0 is no limit.
func (s *WeightServer) SetTransferRate(bytesPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transferRate = bytesPerSecond
}

// FailNext gives the next count transfers of chunks this fault, after those
// that were planned before. FaultNone leaves a transfer whole.
func (s *WeightServer) FailNext(fault Fault, count int) { s.faults.addNext(fault, count) }

// FailAlways gives every transfer of one chunk, or of the manifest at
// ManifestIndex, this fault; FaultNone ends it. It goes before FailNext.
func (s *WeightServer) FailAlways(manifest fleet.Digest, index int, fault Fault) {
	s.faults.setAlways(transferID{manifest: manifest, index: index}, fault)
}

// ClearFaults forgets all planned faults and releases stalled transfers.
func (s *WeightServer) ClearFaults() { s.faults.clear() }

// ReleaseStalled lets the transfers that stall now send their other half.
func (s *WeightServer) ReleaseStalled() { s.faults.releaseStalled() }

// Stalled returns the number of transfers that stall now.
func (s *WeightServer) Stalled() int { return s.faults.stalledNow() }

// Transfers returns the number of transfers that run now.
func (s *WeightServer) Transfers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfers
}

// Requests returns the number of requests so far, also those that were
// refused or failed.
func (s *WeightServer) Requests() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

// BytesSent returns the body bytes given to the network so far, of manifests
// and chunks.
func (s *WeightServer) BytesSent() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// ManifestBytesSent returns the part of BytesSent that belongs to one
// version.
func (s *WeightServer) ManifestBytesSent(manifest fleet.Digest) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentOf[manifest]
}

func (s *WeightServer) getManifest(w http.ResponseWriter, r *http.Request) {
	digest, model, ok := s.requested(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	s.send(w, r, transferID{manifest: digest, index: ManifestIndex}, model.manifest)
}

func (s *WeightServer) getChunk(w http.ResponseWriter, r *http.Request) {
	digest, model, ok := s.requested(w, r)
	if !ok {
		return
	}
	index, err := strconv.ParseUint(r.PathValue("index"), 10, 31)
	if err != nil || int(index) >= len(model.chunks) {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	s.send(w, r, transferID{manifest: digest, index: int(index)}, model.chunks[index])
}

func (s *WeightServer) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.requestCount++
	s.mu.Unlock()
	now := s.now()
	reservation := s.requests.ReserveN(now, 1)
	if pause := reservation.DelayFrom(now); pause > 0 {
		reservation.CancelAt(now)
		refuseRate(w, pause)
		return false
	}
	return s.outage.admit(w, r)
}

// requested returns the model of a request, or refuses the request.
func (s *WeightServer) requested(w http.ResponseWriter, r *http.Request) (fleet.Digest, storedModel, bool) {
	if !s.admit(w, r) {
		return fleet.Digest{}, storedModel{}, false
	}
	digest, err := fleet.ParseDigest(r.PathValue("manifest"))
	if err != nil {
		http.NotFound(w, r)
		return fleet.Digest{}, storedModel{}, false
	}
	s.mu.Lock()
	model, ok := s.models[digest]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
	}
	return digest, model, ok
}

// send answers with data, spoilt as the fault plan says.
func (s *WeightServer) send(w http.ResponseWriter, r *http.Request, id transferID, data []byte) {
	transfer := s.begin(w, r, id)
	defer s.end()
	fault := s.faults.take(id)
	body := spoil(data, fault)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	switch fault {
	case FaultCut:
		transfer.write(body[:half])
		transfer.cut()
	case FaultStall:
		if transfer.write(body[:half]) && s.stall(transfer) {
			transfer.write(body[half:])
		}
	default:
		transfer.write(body)
	}
}

// spoil returns the body of an answer whose fault changes its bytes.
func spoil(data []byte, fault Fault) []byte {
	switch fault {
	case FaultCorrupt:
		bad := bytes.Clone(data)
		bad[len(bad)/2] ^= 1
		return bad
	case FaultShort:
		return data[:len(data)-1]
	case FaultLong:
		return append(bytes.Clone(data), 0)
	default:
		return data
	}
}

// stall waits for ReleaseStalled, false if the client left before.
func (s *WeightServer) stall(t *transfer) bool {
	t.flush()
	release := s.faults.enterStall()
	defer s.faults.leaveStall()
	select {
	case <-release:
		return true
	case <-t.ctx.Done():
		return false
	}
}

func (s *WeightServer) begin(w http.ResponseWriter, r *http.Request, id transferID) *transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfers++
	return &transfer{
		ctx:    r.Context(),
		writer: w,
		shared: s.link,
		own:    newByteLimiter(s.transferRate),
		count:  func(n int) { s.countSent(id.manifest, n) },
	}
}

func (s *WeightServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfers--
}

func (s *WeightServer) countSent(manifest fleet.Digest, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent += uint64(n)
	s.sentOf[manifest] += uint64(n)
}

func newByteLimiter(bytesPerSecond int64) *rate.Limiter {
	return rate.NewLimiter(byteLimit(bytesPerSecond))
}

// byteLimit returns the limit and burst of a link. Transfers send pieces no
// larger than the burst, since a limiter never lets more through at once.
func byteLimit(bytesPerSecond int64) (rate.Limit, int) {
	if bytesPerSecond <= 0 {
		return rate.Inf, maxPieceBytes
	}
	burst := max(minPieceBytes, int(float64(bytesPerSecond)*burstShare))
	return rate.Limit(bytesPerSecond), burst
}

func newRequestLimiter(requestsPerSecond float64) *rate.Limiter {
	if requestsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(requestsPerSecond), int(math.Ceil(requestsPerSecond)))
}
