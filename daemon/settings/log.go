package settings

// Formats of the log.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Log says what is logged to standard error.
type Log struct {
	Level  string `ini:"level" default:"info"`
	Format string `ini:"format" default:"text"`
}
