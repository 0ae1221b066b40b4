package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// tokenSlack is how far the clocks of two instances may differ, plus how long a
// token may be on its way.
const tokenSlack = 2 * time.Minute

// Sign returns the hex HMAC-SHA256 of the parts under a secret.
func Sign(secret string, parts ...string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = mac.Write([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify reports whether sum is the signature of the parts, in constant time.
func Verify(secret, sum string, parts ...string) bool {
	return hmac.Equal([]byte(sum), []byte(Sign(secret, parts...)))
}

// token returns the credential by which an instance opens a connection.
func token(secret, name string, now time.Time) string {
	at := strconv.FormatInt(now.Unix(), 10)
	return fmt.Sprintf("Peer %s:%s:%s", name, at, Sign(secret, "peer", name, at))
}

// checkToken returns the instance that a credential names.
func checkToken(secret, header string, now time.Time) (string, error) {
	rest, ok := strings.CutPrefix(header, "Peer ")
	parts := strings.Split(rest, ":")
	if !ok || len(parts) != 3 {
		return "", fmt.Errorf("credential: want Peer NAME:TIME:SIGNATURE")
	}
	at, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return "", fmt.Errorf("credential: time: %w", err)
	}
	if d := now.Sub(time.Unix(at, 0)); d > tokenSlack || d < -tokenSlack {
		return "", fmt.Errorf("credential of %q is %v off: check the clocks", parts[0], d)
	}
	if !Verify(secret, parts[2], "peer", parts[0], parts[1]) {
		return "", fmt.Errorf("credential of %q: wrong signature", parts[0])
	}
	return parts[0], nil
}
