// Package settings reads the INI files of the daemons.
package settings

import (
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/lavendercourse/lavendercourse/clock"
)

// ErrSettings is returned for a file that cannot be used.
var ErrSettings = eris.New("settings cannot be used")

// Settings holds all settings of a process. Times are in ms.
type Settings struct {
	Place    Place
	Entry    Entry
	Agent    Agent
	Platform Platform
	Log      Log
}

// Place says where the process runs.
type Place struct {
	Region string `ini:"region"`
	Domain string `ini:"domain"`
	Rack   string `ini:"rack"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Name      string   `ini:"name"`
	Callers   string   `ini:"callers"`
	Links     string   `ini:"links"`
	Advertise string   `ini:"advertise"`
	Seeds     []string `ini:"seeds"`
	Policy    string   `ini:"policy"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Name        string   `ini:"name"`
	Entries     []string `ini:"entries"`
	Worker      string   `ini:"worker"`
	Slots       int      `ini:"slots"`
	Connections int      `ini:"connections"`
	Memory      int      `ini:"memory"`
	Cores       int      `ini:"cores"`
}

// Platform holds the settings of the platform's log service.
type Platform struct {
	Address   string       `ini:"address"`
	Retention clock.Millis `ini:"retention"`
}

// Log holds the settings of the log lines.
type Log struct {
	Level string `ini:"level"`
}

// Default returns the settings that a file may override.
func Default() Settings {
	return Settings{
		Entry:    Entry{Callers: "127.0.0.1:7100", Links: "127.0.0.1:7101", Policy: "home"},
		Agent:    Agent{Slots: 8, Connections: 64, Worker: "127.0.0.1:7200"},
		Platform: Platform{Address: "127.0.0.1:7000", Retention: 60 * clock.Minute},
		Log:      Log{Level: "info"},
	}
}

// Load reads a settings file.
func Load(path string) (Settings, error) {
	s := Default()
	f, err := ini.Load(path)
	if err != nil {
		return s, eris.Wrapf(ErrSettings, "%s: %v", path, err)
	}
	if err := f.StrictMapTo(&s); err != nil {
		return s, eris.Wrapf(ErrSettings, "%s: %v", path, err)
	}
	return s, nil
}
