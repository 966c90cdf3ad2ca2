package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/lavendercourse/lavendercourse/clock"
)

const maxNameLength = 64

// value is the Go side of a key. Set returns what is wrong with a text, or "".
type value interface {
	set(text string) string
	String() string
	// bounds describes the texts that set takes.
	bounds() string
}

// name is a word that may be part of a configuration key.
type name struct{ p *string }

func (v name) set(text string) string {
	if text == "" || len(text) > maxNameLength || strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		return "want " + v.bounds()
	}
	*v.p = text
	return ""
}

func (v name) String() string { return *v.p }

func (v name) bounds() string {
	return fmt.Sprintf("1 to %d of a-z, 0-9 and -", maxNameLength)
}

type number struct {
	p         *int
	low, high int
}

func (v number) set(text string) string {
	n, err := strconv.Atoi(text)
	if err != nil || n < v.low || n > v.high {
		return "want a whole number from " + v.bounds()
	}
	*v.p = n
	return ""
}

func (v number) String() string { return strconv.Itoa(*v.p) }

func (v number) bounds() string { return fmt.Sprintf("%d to %d", v.low, v.high) }

type span struct {
	p         *clock.Millis
	low, high clock.Millis
}

func (v span) set(text string) string {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || clock.Millis(n) < v.low || clock.Millis(n) > v.high {
		return "want a whole number of ms from " + v.bounds()
	}
	*v.p = clock.Millis(n)
	return ""
}

func (v span) String() string { return strconv.FormatInt(int64(*v.p), 10) }

func (v span) bounds() string { return fmt.Sprintf("%d to %d", v.low, v.high) }

type choice struct {
	p       *string
	options []string
}

func (v choice) set(text string) string {
	for _, o := range v.options {
		if o == text {
			*v.p = text
			return ""
		}
	}
	return "want one of " + v.bounds()
}

func (v choice) String() string { return *v.p }

func (v choice) bounds() string { return strings.Join(v.options, ", ") }

// address is a numeric IP address and a port, since no name service may be needed to reach another process.
type address struct{ p *string }

func (v address) set(text string) string {
	if !isAddress(text) {
		return "want " + v.bounds()
	}
	*v.p = text
	return ""
}

func (v address) String() string { return *v.p }

func (v address) bounds() string { return "numeric IP address and port" }

type addresses struct{ p *[]string }

func (v addresses) set(text string) string {
	var all []string
	for _, a := range strings.Split(text, ",") {
		a = strings.TrimSpace(a)
		if !isAddress(a) {
			return "want " + v.bounds()
		}
		all = append(all, a)
	}
	*v.p = all
	return ""
}

func (v addresses) String() string { return strings.Join(*v.p, ", ") }

func (v addresses) bounds() string { return "numeric IP addresses and ports" }

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}
