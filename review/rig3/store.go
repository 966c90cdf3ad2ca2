package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxReadWait is the longest time that a read waits for a record.
	maxReadWait = 30 * time.Second
)

// store is a sound store of the platform. Its topics have one partition, and nothing expires by itself.
type store struct {
	mu     sync.Mutex
	topics map[string][][]byte
	// first holds the offset of the first retained record of each topic whose history was dropped.
	first map[string]int
	// changed is closed and replaced with each append, and dropped when the history is dropped.
	changed, dropped chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][][]byte{}, first: map[string]int{}, changed: make(chan struct{}), dropped: make(chan struct{})}
}

// forget drops the history: the records of all topics that keep no newest record of each key. It breaks off the reads that wait.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, records := range s.topics {
		if !strings.HasPrefix(topic, "keyed.") {
			s.first[topic] = len(records)
		}
	}
	close(s.dropped)
	s.dropped = make(chan struct{})
}

// put appends a record with a key, as an operator does.
func (s *store) put(topic, key, value string) {
	s.append(topic, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// append appends records, and returns the offset of the first one and that after the last one.
func (s *store) append(topic string, records [][]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.topics[topic])
}

// part is what a topic has from an offset on.
type part struct {
	records [][]byte
	// first is the offset of the first retained record, and end that after the last one.
	first, end       int
	changed, dropped <-chan struct{}
}

func (s *store) read(topic string, from int) part {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	return part{records: all[min(from, len(all)):], first: s.first[topic], end: len(all), changed: s.changed, dropped: s.dropped}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	return mux
}

func writeJSON(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

func (s *store) serveAppend(rw http.ResponseWriter, req *http.Request) {
	topic := req.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		rw.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(req.Body)
	var records [][]byte
	for err == nil && len(body) > 0 {
		if len(body) < 4 || len(body)-4 < int(binary.BigEndian.Uint32(body)) {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		end := 4 + int(binary.BigEndian.Uint32(body))
		records, body = append(records, body[4:end]), body[end:]
	}
	if err != nil {
		return
	}
	// An append takes appendMs.
	time.Sleep(2 * time.Millisecond)
	offset, end := s.append(topic, records)
	writeJSON(rw, map[string]int{"offset": offset, "endOffset": end})
}

func (s *store) serveRead(rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxReadWait))
	for {
		p := s.read(query.Get("topic"), from)
		if from < p.first {
			rw.Header().Set("Content-Type", "application/json")
			rw.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(rw).Encode(map[string]int{"firstOffset": p.first})
			return
		}
		if len(p.records) == 0 {
			select {
			case <-p.changed:
				continue
			case <-p.dropped:
				panic(http.ErrAbortHandler)
			case <-req.Context().Done():
				return
			case <-deadline:
			}
		}
		answer := binary.BigEndian.AppendUint64(nil, uint64(p.end))
		answer = binary.BigEndian.AppendUint64(answer, uint64(p.first))
		for _, r := range p.records {
			answer = append(binary.BigEndian.AppendUint32(answer, uint32(len(r))), r...)
		}
		_, _ = rw.Write(answer)
		return
	}
}

func (s *store) serveNewest(rw http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	p := s.read(req.URL.Query().Get("topic"), 0)
	newest := map[string]int{}
	for i, r := range p.records {
		if len(r) > 0 && int(r[0]) < len(r) {
			newest[string(r[1:1+r[0]])] = i
		}
	}
	items := []item{}
	for i, r := range p.records {
		if len(r) == 0 || int(r[0]) >= len(r) {
			continue
		}
		key, value := string(r[1:1+r[0]]), r[1+int(r[0]):]
		if newest[key] == i && len(value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), i})
		}
	}
	writeJSON(rw, map[string]any{"items": items, "hasMore": false, "endOffset": p.end})
}
