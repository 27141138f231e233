//! Tests of [`super`].
