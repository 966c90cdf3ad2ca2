package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/lavendercourse/lavendercourse/clock"
)

const maxNameLength = 64

// value is the typed value of a key, bound to a field of Settings.
type value interface {
	// parse stores the value of a text, or returns the problem with it. The problem is empty if the text is valid.
	parse(text string) string
	String() string
	// validValues describes the texts that parse accepts.
	validValues() string
}

// nameValue is a name. It is limited to characters that are valid in a part of a configuration key.
type nameValue struct{ p *string }

func (v nameValue) parse(text string) string {
	if text == "" || len(text) > maxNameLength || strings.Trim(text, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		return "want " + v.validValues()
	}
	*v.p = text
	return ""
}

func (v nameValue) String() string { return *v.p }

func (v nameValue) validValues() string {
	return fmt.Sprintf("1 to %d of a-z, 0-9 and -", maxNameLength)
}

// intValue is a whole number from low to high. An empty text selects the default: templates leave a value empty that the
// platform does not know.
type intValue struct {
	p         *int
	low, high int
}

func (v intValue) parse(text string) string {
	if text == "" {
		return ""
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < v.low || n > v.high {
		return "want a whole number from " + v.validValues()
	}
	*v.p = n
	return ""
}

func (v intValue) String() string { return strconv.Itoa(*v.p) }

func (v intValue) validValues() string { return fmt.Sprintf("%d to %d", v.low, v.high) }

// durationValue is a duration from low to high, in whole ms.
type durationValue struct {
	p         *clock.Millis
	low, high clock.Millis
}

func (v durationValue) parse(text string) string {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || clock.Millis(n) < v.low || clock.Millis(n) > v.high {
		return "want a whole number of ms from " + v.validValues()
	}
	*v.p = clock.Millis(n)
	return ""
}

func (v durationValue) String() string { return strconv.FormatInt(int64(*v.p), 10) }

func (v durationValue) validValues() string { return fmt.Sprintf("%d to %d", v.low, v.high) }

// LateWait and LateRefuse are the values of a gateway's key "late".
const (
	LateWait   = "wait"
	LateRefuse = "refuse"
)

// switchOptions are the values of a key that switches something.
var switchOptions = []string{Off, On}

// choiceValue is one of the given options.
type choiceValue struct {
	p       *string
	options []string
}

func (v choiceValue) parse(text string) string {
	for _, o := range v.options {
		if o == text {
			*v.p = text
			return ""
		}
	}
	return "want one of " + v.validValues()
}

func (v choiceValue) String() string { return *v.p }

func (v choiceValue) validValues() string { return strings.Join(v.options, ", ") }

// addressValue is an IP address and a port. Host names are not accepted, so that no process depends on a name service
// to reach another one.
type addressValue struct{ p *string }

func (v addressValue) parse(text string) string {
	if !isAddress(text) {
		return "want " + v.validValues()
	}
	*v.p = text
	return ""
}

func (v addressValue) String() string { return *v.p }

func (v addressValue) validValues() string { return "numeric IP address and port" }

// addressListValue is a list of addresses as in addressValue, separated by commas.
type addressListValue struct{ p *[]string }

func (v addressListValue) parse(text string) string {
	var all []string
	for _, a := range strings.Split(text, ",") {
		a = strings.TrimSpace(a)
		if !isAddress(a) {
			return "want " + v.validValues()
		}
		all = append(all, a)
	}
	*v.p = all
	return ""
}

func (v addressListValue) String() string { return strings.Join(*v.p, ", ") }

func (v addressListValue) validValues() string { return "numeric IP addresses and ports" }

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}
