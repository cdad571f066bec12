// Package tlsconf builds TLS configurations from PEM files and reloads the files
// when they change, so that certificates are renewed without a restart. The files
// are checked for changes when a connection is set up, at most once per
// CheckInterval.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
)

// CheckInterval is the minimum time between two checks of the files for changes.
const CheckInterval = time.Second

// Files holds the paths of the PEM files for one end of a connection.
type Files struct {
	// Cert and Key are the certificate chain and the private key of this end.
	Cert string `ini:"cert"`
	Key  string `ini:"key"`
	// CA contains the certificate authorities that may issue the other end's
	// certificate.
	CA string `ini:"ca"`
}

// Enabled reports whether TLS is configured.
func (f *Files) Enabled() bool { return f.Cert != "" }

// Validate implements settings.Validator. It reads the files to check that they
// are usable.
func (f *Files) Validate() (string, error) {
	if (f.Cert == "") != (f.Key == "") {
		return "key", errors.New("cert and key go together")
	}
	if !f.Enabled() {
		return "ca", nil
	}
	if _, err := load(*f); err != nil {
		return "cert", err
	}
	return "", nil
}

// loadedFiles is the content of the files when they were last read.
type loadedFiles struct {
	certificate tls.Certificate
	// authorities is nil if there is no CA file.
	authorities *x509.CertPool
	// modTimes are the modification times of the certificate, key and CA files.
	modTimes [3]time.Time
}

// Reloader returns TLS configurations with the current content of the files. It
// is safe for concurrent use.
type Reloader struct {
	files Files

	mu      sync.Mutex
	current *loadedFiles
	// lastCheck is when the files were last checked for changes.
	lastCheck time.Time
}

// NewReloader reads the files and returns a Reloader for them, or an error if
// they are not usable.
func NewReloader(files Files) (*Reloader, error) {
	current, err := load(files)
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, current: current, lastCheck: time.Now()}, nil
}

// load reads the files. The CA file is optional.
func load(files Files) (*loadedFiles, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fault.Wrap(err, "load certificate", files.Cert)
	}
	loaded := &loadedFiles{certificate: certificate, modTimes: modTimesOf(files)}
	if files.CA == "" {
		return loaded, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fault.Wrap(err, "load authorities", files.CA)
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(pem) {
		return nil, fault.New("no certificate in file", "load authorities", files.CA)
	}
	return loaded, nil
}

// modTimesOf returns the modification times of the files. The time of a file that
// cannot be examined is zero.
func modTimesOf(files Files) [3]time.Time {
	var times [3]time.Time
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// reloadIfChanged returns the content of the files. It reads them again if one has
// changed since they were last read. If the changed files are not usable, it
// returns the previous content, logs nothing and tries them again after CheckInterval.
func (r *Reloader) reloadIfChanged() *loadedFiles {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastCheck) < CheckInterval {
		return r.current
	}
	r.lastCheck = time.Now()
	if modTimesOf(r.files) == r.current.modTimes {
		return r.current
	}
	if reloaded, err := load(r.files); err == nil {
		r.current = reloaded
	}
	return r.current
}

// Server returns a configuration for a listener. If there is a CA file, clients
// must present a certificate issued by one of its authorities.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded := r.reloadIfChanged()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{loaded.certificate},
			}
			if loaded.authorities != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = loaded.authorities
				config.SessionTicketsDisabled = true
			}
			return config, nil
		},
	}
}

// Client returns a configuration for one connection to address, an IP address
// with a port. The server's certificate must be valid for the IP address and
// issued by an authority of the CA file, or of the system if there is no CA file.
func (r *Reloader) Client(address string) *tls.Config {
	loaded := r.reloadIfChanged()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{loaded.certificate},
		RootCAs:      loaded.authorities,
		ServerName:   host,
	}
}
