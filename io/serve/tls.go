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

// certCheckInterval is the minimum time between two checks of a certificate file for changes.
const certCheckInterval = 2 * time.Second

// certReloader reloads a certificate when the modification time of its file changes.
type certReloader struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	checkedAt time.Time
}

func newCertReloader(certFile, keyFile string) (*certReloader, error) {
	r := &certReloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *certReloader) load() error {
	info, err := os.Stat(r.certFile)
	if err != nil {
		return merry.Errorf("stat certificate: %w", err)
	}
	if r.cert != nil && info.ModTime().Equal(r.modTime) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return merry.Errorf("load certificate %s: %w", r.certFile, err)
	}
	r.cert, r.modTime = &cert, info.ModTime()
	return nil
}

// get returns the certificate. If a changed file can't be loaded, the previous certificate stays in use.
func (r *certReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checkedAt) >= certCheckInterval {
		r.checkedAt = now
		_ = r.load()
	}
	return r.cert, nil
}

// callerTLS returns the configuration of the callers' port, or nil for plain HTTP.
func callerTLS(cfg settings.Settings) (*tls.Config, error) {
	if cfg.CallerCert == "" {
		return nil, nil
	}
	cert, err := newCertReloader(cfg.CallerCert, cfg.CallerKey)
	if err != nil {
		return nil, merry.Errorf("callers' port: %w", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: cert.get}, nil
}

// operatorTLS returns the configuration of the operators' port, which requires a client certificate issued by
// the operators' authority, or nil for plain HTTP.
func operatorTLS(cfg settings.Settings) (*tls.Config, error) {
	if cfg.OperatorCert == "" {
		return nil, nil
	}
	cert, err := newCertReloader(cfg.OperatorCert, cfg.OperatorKey)
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
