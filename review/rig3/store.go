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
	// maxReadWait is the longest time that a read waits for a record.
	maxReadWait = 30 * time.Second
)

// store is a sound store of the platform. Its topics have one partition, and nothing expires.
type store struct {
	mu     sync.Mutex
	topics map[string][][]byte
	// changed is closed and replaced with each append.
	changed chan struct{}
}

func newStore() *store { return &store{topics: map[string][][]byte{}, changed: make(chan struct{})} }

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

// read returns the records of a topic from an offset on, the offset after the last one, and a channel that is closed with the next append.
func (s *store) read(topic string, from int) (records [][]byte, end int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	return all[min(from, len(all)):], len(all), s.changed
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
		records, end, changed := s.read(query.Get("topic"), from)
		if len(records) == 0 {
			select {
			case <-changed:
				continue
			case <-req.Context().Done():
				return
			case <-deadline:
			}
		}
		answer := binary.BigEndian.AppendUint64(nil, uint64(end))
		answer = binary.BigEndian.AppendUint64(answer, 0)
		for _, r := range records {
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
	records, end, _ := s.read(req.URL.Query().Get("topic"), 0)
	newest := map[string]int{}
	for i, r := range records {
		if len(r) > 0 && int(r[0]) < len(r) {
			newest[string(r[1:1+r[0]])] = i
		}
	}
	items := []item{}
	for i, r := range records {
		if len(r) == 0 || int(r[0]) >= len(r) {
			continue
		}
		key, value := string(r[1:1+r[0]]), r[1+int(r[0]):]
		if newest[key] == i && len(value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), i})
		}
	}
	writeJSON(rw, map[string]any{"items": items, "hasMore": false, "endOffset": end})
}
