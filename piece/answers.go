package piece

import (
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"time"

	"godwitplank/connection"
)

// Limits of what a dispatcher remembers of answers.
const (
	// answerPeriod is how long a result is remembered at least, twice as long at most. No answer is read on a connection that is
	// older, so that an answer which is written again on the same connection is always recognized.
	answerPeriod = 15 * time.Second
	// maxAnswerResults is the number of results that are remembered in an answerPeriod; each takes about 30 bytes. It is enough for
	// 8,000 pieces a second.
	maxAnswerResults = 1 << 17
)

// answerMemory remembers which piece each result was made for. Answers of endpoints have no request id, so that the copy of an
// earlier answer, and then each true answer on the same connection, could be taken for that to a later call. Its zero value is ready
// to use.
type answerMemory struct {
	// pieces has the hash of a piece by that of a result and its endpoint, earlier that of the period before.
	pieces, earlier map[uint64]uint64
	began           time.Time
	seed            maphash.Seed
}

// rotate forgets the results of the period before last.
func (m *answerMemory) rotate(now time.Time) {
	elapsed := now.Sub(m.began)
	switch {
	case m.pieces == nil:
		m.seed = maphash.MakeSeed()
	case elapsed < answerPeriod:
		return
	case elapsed < 2*answerPeriod:
		m.earlier = m.pieces
	default:
		m.earlier = nil
	}
	m.pieces, m.began = make(map[uint64]uint64), now
}

// hash returns a hash of texts and numbers.
func (m *answerMemory) hash(first, second string, numbers ...uint64) uint64 {
	var h maphash.Hash
	h.SetSeed(m.seed)
	_, _ = h.WriteString(first)
	_ = h.WriteByte(0)
	_, _ = h.WriteString(second)
	for _, n := range numbers {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, n))
	}
	return h.Sum64()
}

// check compares an answer with earlier ones and remembers its results. It returns an error if one of them was made for another
// piece. The answer is certainly that to the call, so that the connection may carry another call, only if certain is true: an answer
// without results could be a copy.
func (m *answerMemory) check(now time.Time, k connection.Key, items []Item, results []Result) (certain bool, err error) {
	m.rotate(now)
	made := make(map[uint64]uint64, len(items))
	certain = true
	for i, r := range results {
		if r.Handle == "" {
			continue
		}
		result := m.hash(k.ID, r.Handle, k.Incarnation)
		piece := m.hash(items[i].RequestID, "", uint64(items[i].Stage), uint64(items[i].Piece))
		other, seen := m.pieces[result]
		if !seen {
			other, seen = m.earlier[result]
		}
		if !seen {
			other, seen = made[result]
		}
		if seen && other != piece {
			return false, fmt.Errorf("the answer has the result %.50q of an earlier call or another piece; check the endpoint", r.Handle)
		}
		certain = certain && !seen
		made[result] = piece
	}
	if len(made) == 0 || len(m.pieces)+len(made) > maxAnswerResults {
		return false, nil
	}
	for result, piece := range made {
		m.pieces[result] = piece
	}
	return certain, nil
}
