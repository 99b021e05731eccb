package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"mothcart/io/logs"
)

// errValue marks a value outside the allowed ones; the field's text says which they are.
var errValue = errors.New("value not allowed")

// field is one key of the settings file.
type field struct {
	section  string
	key      string
	fallback string
	required bool
	allowed  string
	doc      string
	set      func(s *Settings, value string) error
}

// fields lists every key, section by section.
var fields = []field{
	{"vm", "id", "", true, "the VM's ID in the VM list", "Names this VM.", text(func(s *Settings) *string { return &s.VMID })},
	{"vm", "region", "default", false, "a name", "The region this VM runs in.", text(func(s *Settings) *string { return &s.Region })},
	{"vm", "availabilityZone", "default", false, "a name", "The availability zone this VM runs in.", text(func(s *Settings) *string { return &s.AvailabilityZone })},
	{"vm", "dataFolder", "", false, "an existing folder, or empty", "Keeps the last configuration over a restart.", folder(func(s *Settings) *string { return &s.DataFolder })},

	{"listen", "callers", "127.0.0.1:8080", false, "host:port", "Address for callers.", address(func(s *Settings) *string { return &s.CallerAddress })},
	{"listen", "operators", "127.0.0.1:8081", false, "host:port", "Address for operators, metrics and health.", address(func(s *Settings) *string { return &s.OperatorAddress })},
	{"listen", "peers", "127.0.0.1:8082", false, "host:port", "Address for the other entry VMs.", address(func(s *Settings) *string { return &s.PeerAddress })},

	{"tls", "callerCert", "", false, "a PEM file, or empty for plain HTTP", "Certificate shown to callers; read again when it changes.", readable(func(s *Settings) *string { return &s.CallerCert })},
	{"tls", "callerKey", "", false, "a PEM file, or empty", "Key of callerCert.", readable(func(s *Settings) *string { return &s.CallerKey })},
	{"tls", "operatorCert", "", false, "a PEM file, or empty for plain HTTP", "Certificate shown to operators.", readable(func(s *Settings) *string { return &s.OperatorCert })},
	{"tls", "operatorKey", "", false, "a PEM file, or empty", "Key of operatorCert.", readable(func(s *Settings) *string { return &s.OperatorKey })},
	{"tls", "operatorCA", "", false, "a PEM file, or empty", "Authority that operators' certificates must come from.", readable(func(s *Settings) *string { return &s.OperatorCA })},
	{"tls", "peerCert", "", false, "a PEM file, or empty for plain TCP", "Certificate shown to peers, and to them as their caller.", readable(func(s *Settings) *string { return &s.PeerCert })},
	{"tls", "peerKey", "", false, "a PEM file, or empty", "Key of peerCert.", readable(func(s *Settings) *string { return &s.PeerKey })},
	{"tls", "peerCA", "", false, "a PEM file, or empty", "Authority that peers' certificates must come from.", readable(func(s *Settings) *string { return &s.PeerCA })},

	{"platform", "store", "", true, "an http or https URL", "The platform's object service.", link(func(s *Settings) *string { return &s.StoreURL })},
	{"platform", "vmList", "", true, "an http or https URL", "The platform's VM list.", link(func(s *Settings) *string { return &s.VMListURL })},
	{"platform", "storeWritesPerSecond", "40", false, "a number above 0", "Bound on this VM's writes to the object service.", number(func(s *Settings) *float64 { return &s.StoreWritesPerSecond })},
	{"platform", "storeReadsPerSecond", "200", false, "a number above 0", "Bound on this VM's reads and watches.", number(func(s *Settings) *float64 { return &s.StoreReadsPerSecond })},

	{"limits", "maxBodyBytes", "4194304", false, "a whole number above 0", "Largest body of an online request, in bytes.", whole(func(s *Settings, n int64) { s.MaxBodyBytes = n })},
	{"limits", "maxInFlight", "20000", false, "a whole number above 0", "Requests that the VM holds at once.", whole(func(s *Settings, n int64) { s.MaxInFlight = int(n) })},
	{"limits", "readHeaderTimeout", "5s", false, "a duration such as 5s", "Time that a caller has for the headers.", span(func(s *Settings) *time.Duration { return &s.ReadHeaderTimeout })},
	{"limits", "bodyTimeout", "30s", false, "a duration such as 30s", "Time that a caller has for the body.", span(func(s *Settings) *time.Duration { return &s.BodyTimeout })},
	{"limits", "drainLag", "3s", false, "a duration such as 3s", "Time that the balancer takes to see a VM that is not ready.", span(func(s *Settings) *time.Duration { return &s.DrainLag })},
	{"limits", "drainLimit", "10m", false, "a duration such as 10m", "Time after which a drain cuts what is in progress.", span(func(s *Settings) *time.Duration { return &s.DrainLimit })},
	{"limits", "staleConfigLimit", "60s", false, "a duration such as 60s", "Time without confirmation of the configuration by platform or peers after which the VM says not ready.", span(func(s *Settings) *time.Duration { return &s.StaleConfigLimit })},

	{"log", "level", "info", false, "one of " + strings.Join(logs.Levels(), ", "), "Lowest level that is logged.", choice(func(s *Settings) *string { return &s.LogLevel }, logs.Levels())},
}

func fieldOf(section, key string) (field, bool) {
	for _, f := range fields {
		if f.section == section && f.key == key {
			return f, true
		}
	}
	return field{}, false
}

// Reference renders the table of all settings in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("| Section | Key | Default | Allowed | Meaning |\n|---|---|---|---|---|\n")
	for _, f := range fields {
		fallback := f.fallback
		if f.required {
			fallback = "(required)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", f.section, f.key, fallback, f.allowed, f.doc)
	}
	return b.String()
}

func text(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if strings.ContainsAny(v, " \t/") {
			return errValue
		}
		*at(s) = v
		return nil
	}
}

func folder(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*at(s) = v
		if v == "" {
			return nil
		}
		info, err := os.Stat(v)
		if err != nil || !info.IsDir() {
			return errValue
		}
		return nil
	}
}

func readable(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*at(s) = v
		if v == "" {
			return nil
		}
		f, err := os.Open(v)
		if err != nil {
			return errValue
		}
		return f.Close()
	}
}

func address(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*at(s) = v
		host, port, err := net.SplitHostPort(v)
		if err != nil || net.ParseIP(host) == nil {
			return errValue
		}
		if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
			return errValue
		}
		return nil
	}
}

func link(at func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return errValue
		}
		*at(s) = strings.TrimSuffix(v, "/")
		return nil
	}
}

func number(at func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n <= 0 {
			return errValue
		}
		*at(s) = n
		return nil
	}
}

func whole(put func(*Settings, int64)) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 {
			return errValue
		}
		put(s, n)
		return nil
	}
}

func span(at func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < 0 {
			return errValue
		}
		*at(s) = d
		return nil
	}
}

func choice(at func(*Settings) *string, allowed []string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if !slices.Contains(allowed, v) {
			return errValue
		}
		*at(s) = v
		return nil
	}
}
