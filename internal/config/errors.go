package config

import "fmt"

// FieldError says that a setting is missing or invalid.
type FieldError struct {
	// Field is the path of the setting in the file, as in deployment.teams[0].name.
	Field string
	// Problem says what is wrong with its value.
	Problem string
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Problem) }

// DecodeError says where a settings file is not TOML, or has a value of the wrong type.
type DecodeError struct {
	Line, Column int
	Key          []string // path of the setting, if there is one
	Err          error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("line %d column %d, field %v: %s", e.Line, e.Column, e.Key, e.Err)
}

func (e *DecodeError) Unwrap() error { return e.Err }
