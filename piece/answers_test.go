package piece

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/connection"
)

// A result is remembered for answerPeriod at least. An answer that cannot be remembered, or that could be a copy, is used, but is no
// reason to use its connection again.
func TestAnswerMemory(t *testing.T) {
	is := is.New(t)
	k := connection.Key{ID: "e", Incarnation: 1}
	item := func(request string, piece int) []Item { return []Item{{RequestID: request, Piece: piece}} }
	result := func(handle string) []Result { return []Result{{Handle: handle}} }
	m := &answerMemory{}
	now := time.Unix(1000, 0)
	check := func(k connection.Key, items []Item, results []Result) string {
		certain, err := m.check(now, k, items, results)
		return fmt.Sprint(certain, err != nil)
	}
	is.Equal(check(k, item("a", 0), result("h1")), "true false")
	is.Equal(check(k, item("b", 0), result("h1")), "false true")                                       // another request
	is.Equal(check(k, item("a", 1), result("h1")), "false true")                                       // another piece
	is.Equal(check(k, item("a", 0), result("h1")), "false false")                                      // the same piece, made again or copied
	is.Equal(check(k, item("b", 0), []Result{{Outcome: NoMemory}}), "false false")                     // without a result
	is.Equal(check(connection.Key{ID: "e", Incarnation: 2}, item("b", 0), result("h1")), "true false") // after a restart
	is.Equal(check(k, append(item("c", 0), item("c", 1)...), append(result("h2"), result("h2")...)), "false true")
	is.Equal(check(k, item("d", 0), result("h2")), "true false") // a refused answer is not remembered
	now = now.Add(answerPeriod)
	is.Equal(check(k, item("e", 0), result("h3")), "true false")
	is.Equal(check(k, item("b", 0), result("h1")), "false true")
	now = now.Add(answerPeriod)
	is.Equal(check(k, item("b", 0), result("h1")), "true false") // forgotten
	is.Equal(check(k, item("b", 0), result("h3")), "false true")
	now = now.Add(2 * answerPeriod)
	is.Equal(check(k, item("b", 0), result("h3")), "true false") // nothing of the period before was remembered
	for i := len(m.pieces); i < maxAnswerResults; i++ {
		m.pieces[uint64(i)] = 0
	}
	is.Equal(check(k, item("f", 0), result("h4")), "false false")
	is.Equal(len(m.pieces), maxAnswerResults)
}

// BenchmarkAnswerMemory measures the check of an answer with eight results.
func BenchmarkAnswerMemory(b *testing.B) {
	m, now := &answerMemory{}, time.Now()
	items, results := make([]Item, 8), make([]Result, 8)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		for i := range items {
			items[i] = Item{RequestID: fmt.Sprint("request-", n), Piece: i}
			results[i].Handle = fmt.Sprintf("10.0.0.1:8080/%d-%d", n, i)
		}
		if _, err := m.check(now.Add(time.Duration(n)*time.Millisecond), connection.Key{ID: "e"}, items, results); err != nil {
			b.Fatal(err)
		}
	}
}
