package event

import (
	"sync"

	"github.com/rs/zerolog"

	lavendercourse "github.com/lavendercourse/lavendercourse"
	"github.com/lavendercourse/lavendercourse/clock"
)

// DefaultBudget is the default maximum number of lines per event that a process logs in one second. A gateway that
// handles 100 jobs per second stays below it.
const DefaultBudget = 150

// budgetPeriod is the length in ms of the periods in which lines are counted against the budget.
const budgetPeriod = clock.Second

// LogConfig holds the settings of a Log.
type LogConfig struct {
	Logger zerolog.Logger
	Clock  lavendercourse.Clock
	// Budget is the maximum number of lines per event in one second; 0 selects DefaultBudget.
	Budget int
}

// Log writes events with a rate limit: each event has a budget of lines per second. Lines beyond it are suppressed, and
// their number is logged as LinesSuppressed.
type Log struct {
	cfg LogConfig

	mu sync.Mutex
	// periodStart is the time at which the current budget period began.
	periodStart clock.Millis
	// lineCounts holds the number of lines in the current period, suppressed ones included, by event number.
	lineCounts map[int]int
}

// NewLog returns a Log with the given settings.
func NewLog(cfg LogConfig) *Log {
	if cfg.Budget == 0 {
		cfg.Budget = DefaultBudget
	}
	return &Log{cfg: cfg, lineCounts: map[int]int{}}
}

// On starts a log line for the event. The caller adds fields and calls Send. If the budget is used up or the level is
// not logged, On returns nil, on which all methods do nothing.
func (l *Log) On(e Event) *zerolog.Event {
	if e.level < max(l.cfg.Logger.GetLevel(), zerolog.GlobalLevel()) {
		return nil
	}
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.periodStart >= budgetPeriod {
		l.logSuppressed()
		l.periodStart = now
	}
	l.lineCounts[e.number]++
	if l.lineCounts[e.number] > l.cfg.Budget {
		return nil
	}
	return e.On(l.cfg.Logger)
}

// logSuppressed logs how many lines of each event were suppressed in the period that ended, and resets the counts.
func (l *Log) logSuppressed() {
	for number, count := range l.lineCounts {
		if count > l.cfg.Budget {
			LinesSuppressed.On(l.cfg.Logger).Int("of", number).Int("lines", count-l.cfg.Budget).Send()
		}
	}
	clear(l.lineCounts)
}
