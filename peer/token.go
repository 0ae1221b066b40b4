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

// maxTokenClockSkew is the maximum difference between a token's issue time and
// the local clock: the skew of two instances' clocks plus the time in transit.
const maxTokenClockSkew = 2 * time.Minute

// Sign returns the HMAC-SHA256 of the parts under a secret, in hexadecimal.
func Sign(secret string, parts ...string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = mac.Write([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify reports whether sum is the signature of the parts. It compares in
// constant time.
func Verify(secret, sum string, parts ...string) bool {
	return hmac.Equal([]byte(sum), []byte(Sign(secret, parts...)))
}

// signToken returns the Authorization header with which an instance opens a
// connection to a peer.
func signToken(secret, name string, now time.Time) string {
	issuedAt := strconv.FormatInt(now.Unix(), 10)
	return fmt.Sprintf("Peer %s:%s:%s", name, issuedAt, Sign(secret, "peer", name, issuedAt))
}

// verifyToken verifies an Authorization header and returns the instance's name.
func verifyToken(secret, header string, now time.Time) (string, error) {
	rest, ok := strings.CutPrefix(header, "Peer ")
	parts := strings.Split(rest, ":")
	if !ok || len(parts) != 3 {
		return "", fmt.Errorf("peer token: want Peer NAME:TIME:SIGNATURE")
	}
	issuedAt, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return "", fmt.Errorf("peer token: invalid time: %w", err)
	}
	if skew := now.Sub(time.Unix(issuedAt, 0)); skew > maxTokenClockSkew || skew < -maxTokenClockSkew {
		return "", fmt.Errorf("peer token of %q: issue time and local clock differ by %v", parts[0], skew)
	}
	if !Verify(secret, parts[2], "peer", parts[0], parts[1]) {
		return "", fmt.Errorf("peer token of %q: wrong signature", parts[0])
	}
	return parts[0], nil
}
