package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"mothcart/core/config"
)

// maxKeyBytes bounds an API key.
const maxKeyBytes = 256

// HashKey returns the hash of an API key in the form stored in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the account that the request's API key belongs to.
func Authenticate(s *config.Snapshot, r *http.Request) (config.Account, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" || len(key) > maxKeyBytes {
		return config.Account{}, false
	}
	hash := HashKey(key)
	account, ok := s.AccountByKeyHash(hash)
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(account.KeyHash)) != 1 {
		return config.Account{}, false
	}
	return account, true
}
