package serve

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"mothcart/io/settings"
)

// certCheckInterval is the least time between two looks at a certificate file.
const certCheckInterval = 2 * time.Second

// reloadedCert reads a certificate again after its file changed.
type reloadedCert struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	changed time.Time
	looked  time.Time
}

func newReloadedCert(certFile, keyFile string) (*reloadedCert, error) {
	r := &reloadedCert{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *reloadedCert) load() error {
	info, err := os.Stat(r.certFile)
	if err != nil {
		return merry.Errorf("look at certificate: %w", err)
	}
	if r.cert != nil && info.ModTime().Equal(r.changed) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return merry.Errorf("load certificate %s: %w", r.certFile, err)
	}
	r.cert, r.changed = &cert, info.ModTime()
	return nil
}

// get returns the certificate; while a new one can't be loaded, the old one stays.
func (r *reloadedCert) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.looked) >= certCheckInterval {
		r.looked = now
		_ = r.load()
	}
	return r.cert, nil
}

// callerTLS returns the configuration of the callers' port, or nil for plain HTTP.
func callerTLS(cfg settings.Settings) (*tls.Config, error) {
	if cfg.CallerCert == "" {
		return nil, nil
	}
	cert, err := newReloadedCert(cfg.CallerCert, cfg.CallerKey)
	if err != nil {
		return nil, merry.Errorf("callers' port: %w", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: cert.get}, nil
}

// operatorTLS returns the configuration of the operators' port, which takes only certificates of
// the operators' authority, or nil for plain HTTP.
func operatorTLS(cfg settings.Settings) (*tls.Config, error) {
	if cfg.OperatorCert == "" {
		return nil, nil
	}
	cert, err := newReloadedCert(cfg.OperatorCert, cfg.OperatorKey)
	if err != nil {
		return nil, merry.Errorf("operators' port: %w", err)
	}
	pem, err := os.ReadFile(cfg.OperatorCA)
	if err != nil {
		return nil, merry.Errorf("operators' authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, merry.Errorf("operators' authority %s: no certificate found", cfg.OperatorCA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, GetCertificate: cert.get,
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}, nil
}
