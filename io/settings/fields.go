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

// errValue means that a value is not allowed; field.allowed describes the allowed values.
var errValue = errors.New("value not allowed")

// field is one key of the settings file.
type field struct {
	section      string
	key          string
	defaultValue string
	required     bool
	allowed      string // description of the allowed values
	doc          string
	// set checks the value and stores it in the settings.
	set func(s *Settings, value string) error
}

// fields lists every key, section by section.
var fields = []field{
	{"vm", "id", "", true, "the VM's ID in the VM list", "Names this VM.", identifier(func(s *Settings) *string { return &s.VMID })},
	{"vm", "region", "default", false, "a name", "The region this VM runs in.", identifier(func(s *Settings) *string { return &s.Region })},
	{"vm", "availabilityZone", "default", false, "a name", "The availability zone this VM runs in.", identifier(func(s *Settings) *string { return &s.AvailabilityZone })},
	{"vm", "dataFolder", "", false, "an existing folder, or empty", "Keeps the last configuration over a restart.", folder(func(s *Settings) *string { return &s.DataFolder })},

	{"listen", "callers", "127.0.0.1:8080", false, "host:port", "Address for callers.", address(func(s *Settings) *string { return &s.CallerAddress })},
	{"listen", "operators", "127.0.0.1:8081", false, "host:port", "Address for operators, metrics and health.", address(func(s *Settings) *string { return &s.OperatorAddress })},
	{"listen", "peers", "127.0.0.1:8082", false, "host:port", "Address for the other entry VMs.", address(func(s *Settings) *string { return &s.PeerAddress })},

	{"tls", "callerCert", "", false, "a PEM file, or empty for plain HTTP", "Certificate shown to callers; read again when it changes.", readableFile(func(s *Settings) *string { return &s.CallerCert })},
	{"tls", "callerKey", "", false, "a PEM file, or empty", "Key of callerCert.", readableFile(func(s *Settings) *string { return &s.CallerKey })},
	{"tls", "operatorCert", "", false, "a PEM file, or empty for plain HTTP", "Certificate shown to operators.", readableFile(func(s *Settings) *string { return &s.OperatorCert })},
	{"tls", "operatorKey", "", false, "a PEM file, or empty", "Key of operatorCert.", readableFile(func(s *Settings) *string { return &s.OperatorKey })},
	{"tls", "operatorCA", "", false, "a PEM file, or empty", "Authority that operators' certificates must come from.", readableFile(func(s *Settings) *string { return &s.OperatorCA })},
	{"tls", "peerCert", "", false, "a PEM file, or empty for plain TCP", "Certificate shown to peers, and to them as their caller.", readableFile(func(s *Settings) *string { return &s.PeerCert })},
	{"tls", "peerKey", "", false, "a PEM file, or empty", "Key of peerCert.", readableFile(func(s *Settings) *string { return &s.PeerKey })},
	{"tls", "peerCA", "", false, "a PEM file, or empty", "Authority that peers' certificates must come from.", readableFile(func(s *Settings) *string { return &s.PeerCA })},

	{"platform", "store", "", true, "an http or https URL", "The platform's object service.", httpURL(func(s *Settings) *string { return &s.StoreURL })},
	{"platform", "vmList", "", true, "an http or https URL", "The platform's VM list.", httpURL(func(s *Settings) *string { return &s.VMListURL })},
	{"platform", "storeWritesPerSecond", "40", false, "a number above 0", "Bound on this VM's writes to the object service.", positiveNumber(func(s *Settings) *float64 { return &s.StoreWritesPerSecond })},
	{"platform", "storeReadsPerSecond", "200", false, "a number above 0", "Bound on this VM's reads and watches.", positiveNumber(func(s *Settings) *float64 { return &s.StoreReadsPerSecond })},

	{"limits", "maxBodyBytes", "4194304", false, "a whole number above 0", "Largest body of an online request, in bytes.", positiveInteger(func(s *Settings, n int64) { s.MaxBodyBytes = n })},
	{"limits", "maxInFlight", "20000", false, "a whole number above 0", "Requests that the VM holds at once.", positiveInteger(func(s *Settings, n int64) { s.MaxInFlight = int(n) })},
	{"limits", "maxConnections", "24000", false, "a whole number above 0", "Connections of callers that the VM holds at once.", positiveInteger(func(s *Settings, n int64) { s.MaxConnections = int(n) })},
	{"limits", "headMemory", "67108864", false, "a whole number above 0", "Memory for the headers of callers' requests, in bytes, at what they cost once they are parsed.", positiveInteger(func(s *Settings, n int64) { s.HeadMemory = n })},
	{"limits", "readHeaderTimeout", "5s", false, "a duration such as 5s", "Time that a caller has for the headers.", duration(func(s *Settings) *time.Duration { return &s.ReadHeaderTimeout })},
	{"limits", "bodyTimeout", "30s", false, "a duration such as 30s", "Time that a caller has for the body.", duration(func(s *Settings) *time.Duration { return &s.BodyTimeout })},
	{"limits", "drainLag", "3s", false, "a duration such as 3s", "Time that the balancer takes to see a VM that is not ready.", duration(func(s *Settings) *time.Duration { return &s.DrainLag })},
	{"limits", "drainLimit", "10m", false, "a duration such as 10m", "Time after which a drain cuts what is in progress.", duration(func(s *Settings) *time.Duration { return &s.DrainLimit })},
	{"limits", "staleConfigLimit", "60s", false, "a duration such as 60s", "Time without confirmation of the configuration by platform or peers after which the VM says not ready.", duration(func(s *Settings) *time.Duration { return &s.StaleConfigLimit })},

	{"log", "level", "info", false, "one of " + strings.Join(logs.Levels(), ", "), "Lowest level that is logged.", choice(func(s *Settings) *string { return &s.LogLevel }, logs.Levels())},
}

func findField(section, key string) (field, bool) {
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
		defaultText := f.defaultValue
		if f.required {
			defaultText = "(required)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", f.section, f.key, defaultText, f.allowed, f.doc)
	}
	return b.String()
}

// identifier and the functions below return a field's set function. target returns the address of the
// setting to store the value in. identifier rejects spaces, tabs and slashes.
func identifier(target func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if strings.ContainsAny(v, " \t/") {
			return errValue
		}
		*target(s) = v
		return nil
	}
}

// folder accepts an existing folder, or an empty value.
func folder(target func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*target(s) = v
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

// readableFile accepts a file that can be opened, or an empty value.
func readableFile(target func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*target(s) = v
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

// address accepts an IP address and a port.
func address(target func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*target(s) = v
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

// httpURL accepts an http or https URL and drops a slash at its end.
func httpURL(target func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return errValue
		}
		*target(s) = strings.TrimSuffix(v, "/")
		return nil
	}
}

func positiveNumber(target func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n <= 0 {
			return errValue
		}
		*target(s) = n
		return nil
	}
}

func positiveInteger(set func(*Settings, int64)) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 {
			return errValue
		}
		set(s, n)
		return nil
	}
}

// duration accepts a duration that is not negative.
func duration(target func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < 0 {
			return errValue
		}
		*target(s) = d
		return nil
	}
}

func choice(target func(*Settings) *string, allowed []string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if !slices.Contains(allowed, v) {
			return errValue
		}
		*target(s) = v
		return nil
	}
}
