package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// operatorTopic is the topic that only the operator writes.
	operatorTopic = "keyed.op"
	// storeLatency is the time that an answer of the store takes.
	storeLatency = 4 * time.Millisecond
	// recordLengthSize is the size of the length before each record, in bytes.
	recordLengthSize = 4
)

type storeRecord struct {
	key   string
	value []byte
}

// store is the platform's store, as far as gateways and runners use it: keyed topics with one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string][]storeRecord
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][]storeRecord{}, changed: make(chan struct{})}
}

// put appends a record as the operator does. An empty value drops the key.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, storeRecord{key: key, value: []byte(value)})
}

func (s *store) append(topic string, r storeRecord) int {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic])
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, topic)
	case "/log-read":
		s.serveRead(w, r, topic)
	case "/log-newest":
		s.serveNewest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == operatorTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []storeRecord
	for len(body) > 0 {
		if len(body) < recordLengthSize+1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[recordLengthSize:]
		if n > len(body) || n < 1 || int(body[0]) > n-1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		split := 1 + int(body[0])
		records = append(records, storeRecord{key: string(body[1:split]), value: append([]byte(nil), body[split:n]...)})
		body = body[n:]
	}
	s.mu.Lock()
	end := len(s.topics[topic])
	first := end
	for _, record := range records {
		end = s.append(topic, record)
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]int{"offset": first, "endOffset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// Without the parameter, the read does not wait.
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) {
			writeRecords(w, records[from:], len(records))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeRecords(w, nil, len(records))
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []storeRecord, end int) {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(append(append(b, byte(len(r.key))), r.key...), r.value...)
	}
	// The error is ignored: it means that the reader has disconnected.
	_, _ = w.Write(b)
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := map[string]int{}
	for i, r := range records {
		newest[r.key] = i
	}
	items := []item{}
	for i, r := range records {
		if newest[r.key] == i && len(r.value) > 0 {
			items = append(items, item{Key: r.key, Value: base64.StdEncoding.EncodeToString(r.value), Offset: i})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "endOffset": len(records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: it means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
