// Package difference encodes the document relative to an earlier version that its receiver has. Versions differ little, so
// that a difference takes a few hundred bytes where the document takes megabytes.
package difference

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/klauspost/compress/zstd"
	"golang.org/x/sync/singleflight"
)

const (
	// maxBases and maxBaseBytes limit the earlier versions that a History keeps. The newest one is always kept.
	maxBases     = 8
	maxBaseBytes = 24 << 20
	// dictionaryID marks frames that refer to an earlier version.
	dictionaryID = 1
	// maxWindow is the distance over which a frame can refer to an earlier version.
	maxWindow = 64 << 20
)

// History holds the recent versions of the document by digest, and the encodings of the newest one. The zero value is
// empty. It is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	bases     []base
	encodings map[string][]byte
	// encoding lets receivers that have the same version wait for one encoding.
	encoding singleflight.Group
}

type base struct {
	digest string
	text   []byte
}

// Add records a version of the document. The caller must not modify text afterwards.
func (h *History) Add(digest string, text []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bases = append(slices.DeleteFunc(h.bases, func(b base) bool { return b.digest == digest }), base{digest, text})
	h.encodings = nil
	total := 0
	for i := len(h.bases) - 1; i >= 0; i-- {
		total += len(h.bases[i].text)
		if i < len(h.bases)-1 && (total > maxBaseBytes || i < len(h.bases)-maxBases) {
			h.bases = slices.Clone(h.bases[i+1:])
			return
		}
	}
}

// Encode returns a payload of the given kind for the version with a digest, encoded relative to the version that the
// receiver has. It returns the digest of that version, or "" if the encoding refers to none. The encodings of the newest
// version are kept, so that payload is called once for all receivers with the same version.
func (h *History) Encode(digest, kind, held string, payload func() ([]byte, error)) (data []byte, baseDigest string, err error) {
	earlier := h.find(held)
	if earlier != nil {
		baseDigest = held
	}
	key := strings.Join([]string{digest, baseDigest, kind}, " ")
	if data = h.encoded(key); data != nil {
		return data, baseDigest, nil
	}
	encoded, err, _ := h.encoding.Do(key, func() (any, error) {
		plain, err := payload()
		if err != nil {
			return nil, err
		}
		data, err := Encode(plain, earlier)
		if err == nil {
			h.keep(digest, key, data)
		}
		return data, err
	})
	if err != nil {
		return nil, "", err
	}
	return encoded.([]byte), baseDigest, nil
}

// find returns the text of the version with a digest, nil if it is not kept.
func (h *History) find(digest string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.IndexFunc(h.bases, func(b base) bool { return b.digest == digest }); i >= 0 {
		return h.bases[i].text
	}
	return nil
}

func (h *History) encoded(key string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.encodings[key]
}

// keep keeps an encoding of a version while that is the newest.
func (h *History) keep(digest, key string, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.bases) == 0 || h.bases[len(h.bases)-1].digest != digest {
		return
	}
	if h.encodings == nil {
		h.encodings = make(map[string][]byte)
	}
	h.encodings[key] = data
}

// Encode compresses a payload, relative to an earlier text unless that is empty.
func Encode(payload, earlier []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithWindowSize(windowFor(len(payload) + len(earlier))),
	}
	if len(earlier) > 0 {
		// The faster levels index too little of an earlier text of megabytes.
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, earlier), zstd.WithEncoderLevel(zstd.SpeedBetterCompression))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("cannot encode the document: %w", err)
	}
	return encoder.EncodeAll(payload, nil), encoder.Close()
}

// Decode reverses Encode, given the same earlier text. It fails if the payload has more than limit bytes.
func Decode(data, earlier []byte, limit uint64) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(limit), zstd.WithDecoderMaxWindow(maxWindow)}
	if len(earlier) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, earlier))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("cannot decode the document: %w", err)
	}
	defer decoder.Close()
	payload, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("cannot decode the document: %w", err)
	}
	return payload, nil
}

// windowFor returns the smallest valid window that covers n bytes.
func windowFor(n int) int {
	window := zstd.MinWindowSize
	for window < n && window < maxWindow {
		window *= 2
	}
	return window
}
