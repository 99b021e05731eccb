// Package ca is a small certificate authority for tests and demonstrations.
//
// It issues certificates for peers, callers and operators. The common name and the DNS name are the
// ID of the holder, and the organizational unit is its role. Keys are stored unencrypted, so
// production certificates must come from elsewhere.
//
// Usage:
//
//	a, err := ca.New(time.Now())
//	cert, err := a.Issue(ca.RolePeer, "e1")
//	certFile, keyFile, err := cert.Write(dir)
//	authorityFile, err := a.Write(dir)
//	cfg, err := cert.TLS(a) // in process
package ca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
)

// Roles of certificates, in their organizational unit.
const (
	RolePeer     = "peer"
	RoleCaller   = "caller"
	RoleOperator = "operator"
)

const (
	// validity is the time for which certificates are valid.
	validity = 30 * 24 * time.Hour
	// clockSkew is the tolerated difference between the clocks of the issuer and the users.
	clockSkew = time.Hour

	serialBits = 120
	fileMode   = 0o600
)

// Authority issues certificates. Its methods are safe for concurrent use.
type Authority struct {
	// CertPEM is the certificate of the authority.
	CertPEM []byte

	now  time.Time
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Certificate is an issued certificate with its key.
type Certificate struct {
	// ID is the common name.
	ID string
	// CertPEM and KeyPEM are the certificate and its private key.
	CertPEM, KeyPEM []byte
}

// New returns an authority whose certificates are valid from now on.
func New(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Errorf("generate authority key: %w", err)
	}
	template, err := newTemplate("mothcart test authority", now)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, merry.Errorf("sign authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, merry.Errorf("parse authority: %w", err)
	}
	return &Authority{CertPEM: encodePEM("CERTIFICATE", der), now: now, cert: cert, key: key}, nil
}

// Issue returns a certificate for the holder id in role, valid for the loopback addresses and
// for ips.
func (a *Authority) Issue(role, id string, ips ...net.IP) (Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Certificate{}, merry.Errorf("generate key of %s: %w", id, err)
	}
	template, err := newTemplate(id, a.now)
	if err != nil {
		return Certificate{}, err
	}
	template.Subject.OrganizationalUnit = []string{role}
	template.DNSNames = []string{id, "localhost"}
	template.IPAddresses = append([]net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}, ips...)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return Certificate{}, merry.Errorf("sign certificate of %s: %w", id, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Certificate{}, merry.Errorf("encode key of %s: %w", id, err)
	}
	return Certificate{ID: id, CertPEM: encodePEM("CERTIFICATE", der), KeyPEM: encodePEM("PRIVATE KEY", keyDER)}, nil
}

// Write writes the authority's certificate into dir and returns the path of the file.
func (a *Authority) Write(dir string) (string, error) {
	path := filepath.Join(dir, "authority.pem")
	if err := os.WriteFile(path, a.CertPEM, fileMode); err != nil {
		return "", merry.Errorf("write authority: %w", err)
	}
	return path, nil
}

// Write writes the certificate and its key into dir and returns the paths of the files.
func (c Certificate) Write(dir string) (certFile, keyFile string, err error) {
	certFile = filepath.Join(dir, c.ID+".cert.pem")
	keyFile = filepath.Join(dir, c.ID+".key.pem")
	if err := os.WriteFile(certFile, c.CertPEM, fileMode); err != nil {
		return "", "", merry.Errorf("write certificate: %w", err)
	}
	if err := os.WriteFile(keyFile, c.KeyPEM, fileMode); err != nil {
		return "", "", merry.Errorf("write key: %w", err)
	}
	return certFile, keyFile, nil
}

// TLS returns a configuration for both ends of a connection, which trusts the authority.
func (c Certificate) TLS(a *Authority) (*tls.Config, error) {
	pair, err := tls.X509KeyPair(c.CertPEM, c.KeyPEM)
	if err != nil {
		return nil, merry.Errorf("certificate of %s: %w", c.ID, err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
	}, nil
}

func newTemplate(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, merry.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
