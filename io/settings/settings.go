// Package settings reads the process settings of a VM from an INI file and checks all of them.
//
// Every key has a default that works, apart from the VM's own ID and the platform's addresses. An
// unknown section or key, a bad value and a missing file are errors that name the file, the
// section, the key and the allowed values; all errors of a file are reported at once.
//
// Usage:
//
//	cfg, err := settings.Load("mothcart.ini")
//	fmt.Print(settings.Reference()) // the settings page of docs/OPERATIONS.md
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"
)

// Settings are the settings of one process. Values are immutable once loaded.
type Settings struct {
	VMID             string
	Region           string
	AvailabilityZone string
	// DataFolder is empty on a VM without a disk.
	DataFolder string

	CallerAddress   string
	OperatorAddress string
	PeerAddress     string

	CallerCert, CallerKey                 string
	OperatorCert, OperatorKey, OperatorCA string
	PeerCert, PeerKey, PeerCA             string

	StoreURL  string
	VMListURL string
	// StoreWritesPerSecond bounds this VM's own writes to the object service.
	StoreWritesPerSecond float64
	// StoreReadsPerSecond bounds this VM's own reads.
	StoreReadsPerSecond float64

	MaxBodyBytes int64
	// MaxInFlight bounds the requests in progress on the VM at once.
	MaxInFlight int
	// MaxConnections bounds the connections of callers that the VM holds at once.
	MaxConnections int
	// HeadMemory bounds the memory for the headers of callers' requests, in bytes, at what they cost once they are parsed.
	HeadMemory        int64
	ReadHeaderTimeout time.Duration
	// BodyTimeout bounds the time to read the body of one request.
	BodyTimeout time.Duration
	// DrainLag is the time that the load balancer takes to notice that the VM is not ready.
	DrainLag time.Duration
	// DrainLimit is the time after which a drain ends and requests still in progress are aborted.
	DrainLimit time.Duration
	// StaleConfigLimit is the time without any confirmation of the configuration after which the
	// VM reports that it is not ready.
	StaleConfigLimit time.Duration

	LogLevel string
}

// Load reads and checks the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse checks data, which was read from the file called name. The error joins all problems, one a
// line.
func Parse(name string, data []byte) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false, IgnoreInlineComment: true}, data)
	if err != nil {
		return Settings{}, merry.Errorf("parse settings %s: %w", name, err)
	}
	s := Settings{}
	var problems []error
	report := func(section, key, reason string) {
		problems = append(problems, merry.Errorf("%s: [%s] %s: %s", name, section, key, reason))
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if _, ok := findField(section.Name(), key.Name()); !ok {
				report(section.Name(), key.Name(), "unknown key; allowed are "+knownKeys(section.Name()))
			}
		}
	}
	for _, f := range fields {
		value := f.defaultValue
		if section, err := file.GetSection(f.section); err == nil && section.HasKey(f.key) {
			value = strings.TrimSpace(section.Key(f.key).String())
		}
		if value == "" && f.required {
			report(f.section, f.key, "missing; it must be "+f.allowed)
			continue
		}
		if err := f.set(&s, value); err != nil {
			report(f.section, f.key, fmt.Sprintf("%q is wrong; it must be %s", value, f.allowed))
		}
	}
	problems = append(problems, checkCombinations(name, s)...)
	if len(problems) > 0 {
		return Settings{}, errors.Join(problems...)
	}
	return s, nil
}

// checkCombinations returns a problem for each group of settings of which only some are set.
func checkCombinations(name string, s Settings) []error {
	var problems []error
	for _, group := range []struct {
		section      string
		set          []string
		keys, reason string
	}{
		{"tls", []string{s.CallerCert, s.CallerKey}, "callerCert, callerKey", "give both or none"},
		{"tls", []string{s.OperatorCert, s.OperatorKey, s.OperatorCA}, "operatorCert, operatorKey, operatorCA", "give all or none"},
		{"tls", []string{s.PeerCert, s.PeerKey, s.PeerCA}, "peerCert, peerKey, peerCA", "give all or none"},
	} {
		given := 0
		for _, v := range group.set {
			if v != "" {
				given++
			}
		}
		if given != 0 && given != len(group.set) {
			problems = append(problems, merry.Errorf("%s: [%s] %s: %s", name, group.section, group.keys, group.reason))
		}
	}
	return problems
}

func knownKeys(section string) string {
	var keys []string
	for _, f := range fields {
		if f.section == section {
			keys = append(keys, f.key)
		}
	}
	if len(keys) > 0 {
		return strings.Join(keys, ", ")
	}
	var sections []string
	for _, f := range fields {
		if len(sections) == 0 || sections[len(sections)-1] != f.section {
			sections = append(sections, f.section)
		}
	}
	return "the sections " + strings.Join(sections, ", ")
}
