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
	// maxPieceBytes bounds what a transfer sends before the next transfer takes
	// its turn, so that transfers share the link evenly.
	maxPieceBytes = 16 << 10
	// minPieceBytes keeps a slow link from using one timer per byte.
	minPieceBytes = 512
	// burstShare is the share of a second that an idle link can catch up on. It
	// compensates for timers that fire late, which would otherwise lower the
	// rate of a fast link.
	burstShare = 0.02
)

// WeightOptions configure a WeightServer. The zero value has no limits.
type WeightOptions struct {
	// BytesPerSecond is the rate of the link that all transfers share; 0 means
	// no limit.
	BytesPerSecond int64
	// RequestsPerSecond limits the request rate. Requests beyond it get 429; 0
	// means no limit.
	RequestsPerSecond float64
	// Now is the clock of the request limit; nil means time.Now.
	Now func() time.Time
}

// WeightServer is a stand-in of the origin of weights or, with a request limit,
// of the rate-limited weight store.
type WeightServer struct {
	mux            *http.ServeMux
	outage         *outage
	faults         *faultPlan
	linkLimiter    *rate.Limiter
	requestLimiter *rate.Limiter
	now            func() time.Time

	mu                  sync.Mutex
	models              map[fleet.Digest]storedModel
	transferRate        int64 // bytes per second of each transfer; 0: no limit
	requestCount        uint64
	sentBytes           uint64
	sentBytesByManifest map[fleet.Digest]uint64
	transfers           int
}

// storedModel is the manifest and the chunks of one version.
type storedModel struct {
	manifest []byte
	chunks   [][]byte
}

// NewWeightServer returns a server that holds no versions.
func NewWeightServer(options WeightOptions) *WeightServer {
	s := &WeightServer{
		mux:                 http.NewServeMux(),
		outage:              newOutage(),
		faults:              newFaultPlan(),
		linkLimiter:         newByteLimiter(options.BytesPerSecond),
		requestLimiter:      newRequestLimiter(options.RequestsPerSecond),
		now:                 clockOrDefault(options.Now),
		models:              map[fleet.Digest]storedModel{},
		sentBytesByManifest: map[fleet.Digest]uint64{},
	}
	s.mux.HandleFunc("GET /v1/weights/{manifest}", s.getManifest)
	s.mux.HandleFunc("GET /v1/weights/{manifest}/chunks/{index}", s.getChunk)
	return s
}

// ServeHTTP implements http.Handler.
func (s *WeightServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Add stores a version: its manifest and the bytes of its chunks by index. The
// bytes are not verified against their digests, since a real source may hold
// corrupt bytes. It returns the digest of the manifest, or failure.Invalid if
// the number of blobs differs from the number of chunks.
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

// SetDown makes all further requests fail with 503 until SetDown(false).
// Running transfers continue.
func (s *WeightServer) SetDown(down bool) { s.outage.setDown(down) }

// SetUnresponsive makes the server accept further requests without responding
// until SetUnresponsive(false). Running transfers continue.
func (s *WeightServer) SetUnresponsive(unresponsive bool) { s.outage.setUnresponsive(unresponsive) }

// SetLinkRate changes the rate of the link that all transfers share; 0 means no
// limit.
func (s *WeightServer) SetLinkRate(bytesPerSecond int64) {
	limit, burst := byteLimit(bytesPerSecond)
	s.linkLimiter.SetBurst(burst)
	s.linkLimiter.SetLimit(limit)
}

// SetTransferRate limits each later transfer to bytesPerSecond, in addition to
// the rate of the link; 0 means no limit.
func (s *WeightServer) SetTransferRate(bytesPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transferRate = bytesPerSecond
}

// FailNext applies fault to the next count transfers of chunks, after those set
// by earlier calls. FaultNone leaves a transfer unchanged.
func (s *WeightServer) FailNext(fault Fault, count int) { s.faults.enqueue(fault, count) }

// FailAlways applies fault to all transfers of one chunk, or of the manifest at
// ManifestIndex. FaultNone removes it. It takes precedence over FailNext.
func (s *WeightServer) FailAlways(manifest fleet.Digest, index int, fault Fault) {
	s.faults.setPermanent(transferID{manifest: manifest, chunkIndex: index}, fault)
}

// ClearFaults removes all faults and releases the stalled transfers.
func (s *WeightServer) ClearFaults() { s.faults.clear() }

// ReleaseStalled lets the stalled transfers send the rest of their bodies.
func (s *WeightServer) ReleaseStalled() { s.faults.releaseStalled() }

// Stalled returns the number of stalled transfers.
func (s *WeightServer) Stalled() int { return s.faults.stalledCount() }

// Transfers returns the number of running transfers.
func (s *WeightServer) Transfers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transfers
}

// Requests returns the total number of requests, including those that were
// refused or failed.
func (s *WeightServer) Requests() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount
}

// BytesSent returns the number of body bytes of manifests and chunks sent so
// far.
func (s *WeightServer) BytesSent() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentBytes
}

// ManifestBytesSent returns the part of BytesSent that belongs to one version.
func (s *WeightServer) ManifestBytesSent(manifest fleet.Digest) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentBytesByManifest[manifest]
}

func (s *WeightServer) getManifest(w http.ResponseWriter, r *http.Request) {
	digest, model, ok := s.resolve(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	s.send(w, r, transferID{manifest: digest, chunkIndex: ManifestIndex}, model.manifest)
}

func (s *WeightServer) getChunk(w http.ResponseWriter, r *http.Request) {
	digest, model, ok := s.resolve(w, r)
	if !ok {
		return
	}
	index, err := strconv.ParseUint(r.PathValue("index"), 10, 31)
	if err != nil || int(index) >= len(model.chunks) {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	s.send(w, r, transferID{manifest: digest, chunkIndex: int(index)}, model.chunks[index])
}

func (s *WeightServer) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.requestCount++
	s.mu.Unlock()
	now := s.now()
	reservation := s.requestLimiter.ReserveN(now, 1)
	if pause := reservation.DelayFrom(now); pause > 0 {
		reservation.CancelAt(now)
		writeTooManyRequests(w, pause)
		return false
	}
	return s.outage.admit(w, r)
}

// resolve returns the model that a request names. If it returns false, the
// error response has been written or the client has disconnected.
func (s *WeightServer) resolve(w http.ResponseWriter, r *http.Request) (fleet.Digest, storedModel, bool) {
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

// send responds with data, altered by the fault of this transfer.
func (s *WeightServer) send(w http.ResponseWriter, r *http.Request, id transferID, data []byte) {
	transfer := s.beginTransfer(w, r, id)
	defer s.endTransfer()
	fault := s.faults.nextFault(id)
	body := applyFault(data, fault)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	switch fault {
	case FaultAbort:
		transfer.write(body[:half])
		transfer.abort()
	case FaultStall:
		if transfer.write(body[:half]) && s.stall(transfer) {
			transfer.write(body[half:])
		}
	default:
		transfer.write(body)
	}
}

// applyFault returns the body altered by a fault that changes its bytes.
func applyFault(data []byte, fault Fault) []byte {
	switch fault {
	case FaultCorrupt:
		corrupted := bytes.Clone(data)
		corrupted[len(corrupted)/2] ^= 1
		return corrupted
	case FaultTruncate:
		return data[:len(data)-1]
	case FaultExtend:
		return append(bytes.Clone(data), 0)
	default:
		return data
	}
}

// stall waits for ReleaseStalled. It returns false if the client disconnects
// first.
func (s *WeightServer) stall(t *transfer) bool {
	t.flush()
	release := s.faults.beginStall()
	defer s.faults.endStall()
	select {
	case <-release:
		return true
	case <-t.ctx.Done():
		return false
	}
}

func (s *WeightServer) beginTransfer(w http.ResponseWriter, r *http.Request, id transferID) *transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfers++
	return &transfer{
		ctx:             r.Context(),
		writer:          w,
		linkLimiter:     s.linkLimiter,
		transferLimiter: newByteLimiter(s.transferRate),
		onSent:          func(n int) { s.countSent(id.manifest, n) },
	}
}

func (s *WeightServer) endTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfers--
}

func (s *WeightServer) countSent(manifest fleet.Digest, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentBytes += uint64(n)
	s.sentBytesByManifest[manifest] += uint64(n)
}

func newByteLimiter(bytesPerSecond int64) *rate.Limiter {
	return rate.NewLimiter(byteLimit(bytesPerSecond))
}

// byteLimit returns the rate limit and the burst of a link. Transfers send
// pieces no larger than the burst, the most that a limiter admits at once.
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
