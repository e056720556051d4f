package setting

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Ranges of settings. Values outside are replaced by the nearest one inside, so that the VM starts.
const (
	maxCount       = math.MaxInt32
	maxDuration    = 365 * 24 * time.Hour
	minRetryWindow = 100 * time.Millisecond
)

// parseNumber parses a finite number of 0 or more, which may have a fraction or an exponent.
func parseNumber(value string) (float64, error) {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || n < 0 || math.IsInf(n, 0) || math.IsNaN(n) {
		return 0, fmt.Errorf("%q is not a valid number; use one of 0 or more, such as 0.4", value)
	}
	return n, nil
}

func setNumber(field *float64, value string) error {
	n, err := parseNumber(value)
	if err != nil {
		return err
	}
	*field = n
	return nil
}

// setOptionalNumber sets a field to a number, or to the default for an empty value: the platform renders nothing for a bound
// that a deployment does not have.
func setOptionalNumber(field *float64, value string, defaultValue float64) error {
	if value == "" {
		*field = defaultValue
		return nil
	}
	return setNumber(field, value)
}

// setCount sets a field to a number without its fraction.
func setCount(field *int, value string) error {
	n, err := parseNumber(value)
	if err != nil {
		return err
	}
	*field = int(min(n, maxCount))
	return nil
}

// setOptionalCount is setCount with 0 for an empty value, as setOptionalNumber.
func setOptionalCount(field *int, value string) error {
	if value == "" {
		*field = 0
		return nil
	}
	return setCount(field, value)
}

// setDuration accepts Go's durations, and seconds with an exponent.
func setDuration(field *time.Duration, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		var seconds float64
		seconds, err = parseNumber(strings.TrimSuffix(value, "s"))
		d = time.Duration(min(seconds, maxDuration.Seconds()) * float64(time.Second))
	}
	if err != nil || d < 0 || !strings.ContainsAny(value, "hms") {
		return fmt.Errorf("%q is not a valid duration; use one such as 1.5s", value)
	}
	*field = min(d, maxDuration)
	return nil
}

func setRetryRatio(s *Settings, value string) error {
	if err := setNumber(&s.Retry.Ratio, value); err != nil {
		return err
	}
	if s.Retry.Ratio > 1 {
		s.Warnings = append(s.Warnings, fmt.Sprintf("--retry_ratio: %s is more than 1; 1 is used", value))
		s.Retry.Ratio = 1
	}
	return nil
}

func setRetryWindow(s *Settings, value string) error {
	if err := setDuration(&s.Retry.Window, value); err != nil {
		return err
	}
	if s.Retry.Window < minRetryWindow {
		s.Warnings = append(s.Warnings, fmt.Sprintf("--retry_window: %s is too short; %s is used", value, minRetryWindow))
		s.Retry.Window = minRetryWindow
	}
	return nil
}
