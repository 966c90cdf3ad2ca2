package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// newestPage is the largest number of items in one answer to /log-newest.
const newestPage = 500

type storeRecord struct {
	key   string
	value []byte
}

// store is the platform's store, with keyed topics of one partition.
type store struct {
	mu     sync.Mutex
	topics map[string][]storeRecord
	// changed is closed and replaced with each record.
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][]storeRecord{}, changed: make(chan struct{})}
}

// put appends a record as the operator does, and returns its offset.
func (s *store) put(topic, key string, value []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) read(topic string) ([]storeRecord, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[topic], s.changed
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return mux
}

func (s *store) serveAppend(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	topic := req.URL.Query().Get("topic")
	if err != nil || topic == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []storeRecord
	for len(body) > 0 {
		if len(body) < 4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n < 1 || n > len(body) || 1+int(body[0]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k := 1 + int(body[0])
		records = append(records, storeRecord{string(body[1:k]), body[k:n]})
		body = body[n:]
	}
	end := 0
	for _, r := range records {
		end = s.put(topic, r.key, r.value) + 1
	}
	writeJSON(w, map[string]any{"offset": end - len(records), "endOffset": end})
}

func (s *store) serveRead(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// Without waitMs the answer is sent at once.
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		records, changed := s.read(q.Get("topic"))
		if from < len(records) {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
	records, _ := s.read(q.Get("topic"))
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records[min(from, len(records)):] {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(b, byte(len(r.key)))
		b = append(b, r.key...)
		b = append(b, r.value...)
	}
	_, _ = w.Write(b)
}

func (s *store) serveNewest(w http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	records, _ := s.read(req.URL.Query().Get("topic"))
	newest := map[string]int{}
	for i, r := range records {
		newest[r.key] = i
	}
	// A topic of a case has few keys, so one page holds them all.
	items := []item{}
	for i, r := range records {
		if newest[r.key] == i && len(r.value) > 0 && len(items) < newestPage {
			items = append(items, item{r.key, r.value, i})
		}
	}
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "endOffset": len(records)})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
