"""Keys of the fronts: TLS with client certificates for SASP and OTLP, CURVE for pub-sub. Loaded at start, and anew
on SIGHUP: new connections meet the new keys, streams that stand go on unless their bearer was taken out."""
