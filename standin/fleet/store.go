// Package fleet provides test stand-ins for the users' platform: the store of keyed streams, and workers with leases
// and fencing tokens. Both serve the platform's published HTTP calls and can inject faults.
package fleet

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// StoreFaults selects the faults that the store injects.
type StoreFaults struct {
	// Down answers all calls with 503.
	Down bool
	// Silent leaves all calls without an answer.
	Silent bool
	// Delay is added to each answer.
	Delay time.Duration
	// Lose executes appends but does not answer them.
	Lose bool
}

type record struct {
	key   string
	value []byte
}

// Store is an in-memory store of keyed streams with one partition each.
type Store struct {
	mu      sync.Mutex
	streams map[string][]record
	// first holds the first readable offset of each stream.
	first map[string]int
	// changed is closed and replaced at each append, to wake waiting reads.
	changed chan struct{}
	faults  StoreFaults
	calls   int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{streams: map[string][]record{}, first: map[string]int{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults that the store injects.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends a record directly, as an operator does; faults do not apply. An empty value removes the key.
func (s *Store) Put(stream, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(stream, record{key: key, value: []byte(value)})
}

// ExpireRecords makes all present records of a stream unreadable by offset: reads from before its end get 410 Gone. The
// newest record of each key is still returned by /log-newest.
func (s *Store) ExpireRecords(stream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[stream] = len(s.streams[stream])
}

func (s *Store) append(stream string, r record) {
	s.streams[stream] = append(s.streams[stream], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the HTTP handler of the store's published calls.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/log-append", s.withFaults(s.serveAppend)).Methods(http.MethodPost)
	r.HandleFunc("/log-read", s.withFaults(s.serveRead)).Methods(http.MethodGet)
	r.HandleFunc("/log-newest", s.withFaults(s.serveNewest)).Methods(http.MethodGet)
	return r
}

func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.calls++
		s.mu.Unlock()
		switch {
		case f.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case f.Silent:
			<-r.Context().Done()
			return
		}
		time.Sleep(f.Delay)
		next(w, r)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || int(body[4]) > len(body)-5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n := 5 + int(body[4])
	s.mu.Lock()
	stream := r.URL.Query().Get("topic")
	s.append(stream, record{key: string(body[5:n]), value: body[n:]})
	end, lose := len(s.streams[stream]), s.faults.Lose
	s.mu.Unlock()
	if lose {
		<-r.Context().Done()
		return
	}
	writeJSON(w, map[string]int{"offset": end - 1, "endOffset": end})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	stream := r.URL.Query().Get("topic")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, first, changed := s.streams[stream], s.first[stream], s.changed
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"firstOffset": first})
			return
		}
		if from < len(records) {
			writeRecords(w, records[from:], len(records), first)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeRecords(w, nil, len(records), first)
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []record, end, first int) {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, uint64(first))
	for _, r := range records {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(append(append(b, byte(len(r.key))), r.key...), r.value...)
	}
	// A write fails if the reader has disconnected; the stand-in has nowhere to report it.
	_, _ = w.Write(b)
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.streams[r.URL.Query().Get("topic")]
	newest := map[string]int{}
	for i, rec := range records {
		newest[rec.key] = i
	}
	items := []item{}
	for i, rec := range records {
		if newest[rec.key] == i && len(rec.value) > 0 {
			items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), i})
		}
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "endOffset": len(records)})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
